#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "invalid_responses.h"
#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

/// Answers that are no sound HTTP to the gateway's own calls: orders and releases.
class test_invalid_control_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_invalid_control_answers);
    CPPUNIT_TEST(order_with_an_invalid_answer_is_not_accepted);
    CPPUNIT_TEST(release_with_an_invalid_answer_has_failed);
    CPPUNIT_TEST_SUITE_END();

public:
    void start(int plain_endpoints, int prefill_engines, int decode_engines)
    {
        this->site = std::make_unique<platform_site>(plain_endpoints, prefill_engines, decode_engines);
        this->site->set_retry_slack(10'000);
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
        CPPUNIT_ASSERT(this->site->wait_until_registered());
    }

    void tearDown() override { this->site.reset(); }

    site_response send_stream()
    {
        site_request request;
        request.path = "/stream/1";
        request.id = "attempt-" + std::to_string(++this->sent);
        request.extra_headers = {{"Model", "m"}, {"Token-Count", "3000,100"}, {"Prefix-Hash", "a:200,b:2800"}};
        return this->site->call(request);
    }

    std::ptrdiff_t count_calls(const std::string& kind)
    {
        std::ptrdiff_t calls = 0;
        for (const auto& [id, engine] : this->site->engines)
            calls += std::ranges::count(engine->calls(), kind, &engine_call::kind);
        return calls;
    }

    std::string metrics()
    {
        site_request scrape;
        scrape.method = "GET";
        scrape.path = "/metrics";
        scrape.body.clear();
        caller calls;
        return calls.wait(call_gateway(this->site->peer_address(), scrape)).body;
    }

    // Guards against an engine that counts as changing its phase, and as full, since its answer had a status below 300.
    void order_with_an_invalid_answer_is_not_accepted()
    {
        const std::vector<invalid_response> forms = invalid_statuses();
        constexpr int surplus_engines = 30;
        this->start(0, surplus_engines, 1);
        std::atomic<std::size_t> turn = 0;
        for (const auto& [id, engine] : this->site->engines) {
            engine->set_control_script([&](const engine_call& call) -> scripted_answer {
                return {{forms[turn++ % forms.size()].make(call, "")}, answer_end::close};
            });
        }
        const auto orders = static_cast<std::ptrdiff_t>(forms.size());
        CPPUNIT_ASSERT(wait_until([&] { return this->count_calls("order") >= orders; }, 30s));
        // The answer to the last order.
        std::this_thread::sleep_for(200ms);
        const std::string counted = this->metrics();
        CPPUNIT_ASSERT_MESSAGE(counted, counted.find(R"(orders_total{taken="no"})") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(counted, counted.find(R"(orders_total{taken="yes"})") == std::string::npos);
        CPPUNIT_ASSERT(this->site->log().find("its status is 000") != std::string::npos);
    }

    // Guards against releases that count as done on an invalid answer, and whose failure nobody can explain.
    void release_with_an_invalid_answer_has_failed()
    {
        this->start(0, 1, 1);
        this->site->engine("d0").set_fault(engine_fault::shed);
        int released = 0;
        for (const invalid_response& form : invalid_statuses()) {
            this->site->engine("r0").set_control_script([&](const engine_call& call) -> scripted_answer {
                return {{form.make(call, "")}, answer_end::close};
            });
            this->send_stream();
            ++released;
            CPPUNIT_ASSERT_MESSAGE(form.name, wait_until([&] { return this->count_calls("release") >= released; }));
        }
        const std::string line = "release_failed_total " + std::to_string(released);
        CPPUNIT_ASSERT(wait_until([&] { return this->metrics().find(line) != std::string::npos; }));
        const std::string log = this->site->log();
        const std::size_t logged = log.find("decision=release_failed");
        CPPUNIT_ASSERT(logged != std::string::npos);
        CPPUNIT_ASSERT(log.find("its status is 000", logged) != std::string::npos);
    }

private:
    std::unique_ptr<platform_site> site;
    int sent = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_invalid_control_answers);

} // namespace
