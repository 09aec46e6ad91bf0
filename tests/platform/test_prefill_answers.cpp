#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

constexpr unsigned status_ok = 200;

std::string prefill_answer(const engine_call& call, const std::string& body)
{
    return http_answer(status_ok, {{"Attempt-Id", call.id}}, body);
}

std::string body_with_handle(const std::string& handle)
{
    return nlohmann::json{{"handle", handle}, {"tokens", 300}, {"version", 1}}.dump();
}

/// Prefill engines whose answers are odd: they cost a prefill, and neither the stream nor the host.
class test_prefill_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_prefill_answers);
    CPPUNIT_TEST(line_break_in_a_handle_adds_no_header_and_no_request);
    CPPUNIT_TEST(handle_too_long_for_a_header_costs_no_stream);
    CPPUNIT_TEST(deeply_nested_prefill_answer_uses_little_memory);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->site = std::make_unique<platform_site>(0, 1, 2);
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
        CPPUNIT_ASSERT(this->site->wait_until_registered());
    }

    void tearDown() override { this->site.reset(); }

    void set_prefill_body(const std::string& body)
    {
        this->site->engine("r0").set_script(
            [body](const engine_call& call) -> scripted_answer { return {{prefill_answer(call, body)}}; });
    }

    /// Sends a stream that the prefill engine is asked for, and checks that its caller gets it whole.
    void check_stream()
    {
        site_request request;
        request.path = "/stream/1";
        request.extra_headers = {{"Model", "m"}, {"Token-Count", "3000,100"}, {"Prefix-Hash", "a:200,b:2800"}};
        const site_response response = this->site->call(request);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->site->engine("r0").calls().size());
        CPPUNIT_ASSERT_EQUAL(status_ok, response.status);
        CPPUNIT_ASSERT_EQUAL(whole_stream("attempt-1"), response.body);
    }

    // Guards against a handle that adds headers, or a second request, to the calls in which it is sent on.
    void line_break_in_a_handle_adds_no_header_and_no_request()
    {
        this->set_prefill_body(body_with_handle("h1\r\nInjected: 1\r\n\r\nPOST /smuggled HTTP/1.1\r\nHost: x"));
        this->check_stream();
        for (const auto& [id, engine] : this->site->engines) {
            for (const engine_call& call : engine->calls()) {
                CPPUNIT_ASSERT(http::find_header(call.request.lines, "Injected").empty());
                CPPUNIT_ASSERT(call.request.path() != "/smuggled");
            }
        }
    }

    // Guards against requests that end in an internal error since a handle fits into no header.
    void handle_too_long_for_a_header_costs_no_stream()
    {
        this->set_prefill_body(body_with_handle(std::string(100'000, 'h')));
        this->check_stream();
        CPPUNIT_ASSERT(this->site->log().find("handler_failed") == std::string::npos);
    }

    // Guards against a process that ends for want of memory since it keeps each level of an engine's answer.
    void deeply_nested_prefill_answer_uses_little_memory()
    {
        constexpr std::size_t levels = 2'000'000;
        constexpr long host_memory_mb = 88;
        this->set_prefill_body(R"({"handle":"h1","other":)" + std::string(levels, '[') + std::string(levels, ']') +
                               "}");
        this->check_stream();
        CPPUNIT_ASSERT(this->site->gateway()->is_running());
        CPPUNIT_ASSERT_LESS(host_memory_mb, this->site->gateway()->peak_memory_mb());
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_prefill_answers);

} // namespace
