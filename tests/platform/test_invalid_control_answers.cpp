#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "invalid_responses.h"
#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;
/// Stands in the log where an invalid answer is the cause of a failure.
constexpr const char* invalid_cause = "the response is invalid";

/// Answers that are no sound HTTP to the gateway's own calls: to prefill engines, orders, releases and the store.
class test_invalid_control_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_invalid_control_answers);
    CPPUNIT_TEST(prefill_result_in_an_invalid_answer_is_not_handed_over);
    CPPUNIT_TEST(order_with_an_invalid_answer_is_not_accepted);
    CPPUNIT_TEST(release_with_an_invalid_answer_has_failed);
    CPPUNIT_TEST(invalid_answers_of_the_store_tell_nothing);
    CPPUNIT_TEST(invalid_answers_of_the_store_make_no_starting_host_ready);
    CPPUNIT_TEST_SUITE_END();

public:
    void start(int plain_endpoints, int prefill_engines, int decode_engines)
    {
        this->site = std::make_unique<platform_site>(plain_endpoints, prefill_engines, decode_engines);
        this->start_host();
    }

    void start_host()
    {
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

    unsigned status_of(const std::string& path)
    {
        site_request request;
        request.path = path;
        return this->site->call(request).status;
    }

    std::ptrdiff_t count_calls(const std::string& kind)
    {
        std::ptrdiff_t calls = 0;
        for (const auto& [id, engine] : this->site->engines)
            calls += std::ranges::count(engine->calls(), kind, &engine_call::kind);
        return calls;
    }

    // Guards against a handle that was read out of a body in an invalid coding.
    void prefill_result_in_an_invalid_answer_is_not_handed_over()
    {
        const std::string result = nlohmann::json{{"handle", "h1"}, {"tokens", 300}, {"version", 1}}.dump();
        std::vector<invalid_response> forms = lenient_codings();
        forms.push_back(invalid_statuses().front());
        forms.push_back(invalid_codings().front());
        for (const invalid_response& form : forms) {
            this->start(0, 1, 2);
            this->site->engine("r0").set_script([form, result](const engine_call& call) -> scripted_answer {
                return {{form.make(call, result)}, answer_end::close};
            });
            const site_response response = this->send_stream();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(form.name, std::ptrdiff_t{1}, this->count_calls("prefill"));
            for (const char* id : {"d0", "d1"}) {
                for (const engine_call& call : this->site->engine(id).calls())
                    CPPUNIT_ASSERT_MESSAGE(form.name, http::find_header(call.request.lines, "Kv-Source").empty());
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(form.name, whole_stream("attempt-" + std::to_string(this->sent)),
                                         response.body);
        }
    }

    // Guards against an engine that counts as changing its phase, and as full, since its answer had a status below 300.
    void order_with_an_invalid_answer_is_not_accepted()
    {
        const std::vector<invalid_response> forms = invalid_heads();
        constexpr int surplus_engines = 30;
        this->start(0, surplus_engines, 1);
        const auto turn = std::make_shared<std::atomic<std::size_t>>(0);
        for (const auto& [id, engine] : this->site->engines) {
            engine->set_control_script([forms, turn](const engine_call& call) -> scripted_answer {
                return {{forms[(*turn)++ % forms.size()].make(call, "")}, answer_end::close};
            });
        }
        const auto orders = static_cast<std::ptrdiff_t>(forms.size());
        CPPUNIT_ASSERT(wait_until([&] { return this->count_calls("order") >= orders; }, 30s));
        // The answer to the last order.
        std::this_thread::sleep_for(200ms);
        const std::string counted = this->site->metrics();
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
        for (const invalid_response& form : invalid_heads()) {
            this->site->engine("r0").set_control_script([form](const engine_call& call) -> scripted_answer {
                return {{form.make(call, "")}, answer_end::close};
            });
            this->send_stream();
            ++released;
            CPPUNIT_ASSERT_MESSAGE(form.name, wait_until([&] { return this->count_calls("release") >= released; }));
        }
        const std::string line = "release_failed_total " + std::to_string(released);
        CPPUNIT_ASSERT(wait_until([&] { return this->site->metrics().find(line) != std::string::npos; }));
        CPPUNIT_ASSERT(wait_until([this] { return this->has_logged("decision=release_failed", "its status is 000"); }));
    }

    // Guards against a configuration, entries or the end of a lease that a host took out of an invalid answer of the
    // store.
    void invalid_answers_of_the_store_tell_nothing()
    {
        for (const auto& forms : {lenient_codings(), invalid_statuses()}) {
            this->site = std::make_unique<platform_site>(2, 0, 0);
            const std::string key = this->site->engine("p1").key();
            this->site->store->remove(key);
            this->start_host();
            this->break_store_answers(forms);
            // These changes are in the answers to the waiting watches.
            this->site->store->put(key, this->site->engine("p1").entry());
            this->site->store->remove(this->site->engine("p0").key());
            for (int version = 2; version < 5; ++version) {
                this->site->write_config(version, version > 2 ? "/added/" : "");
                std::this_thread::sleep_for(700ms);
                CPPUNIT_ASSERT_EQUAL(404U, this->status_of("/added/1"));
                CPPUNIT_ASSERT_EQUAL(status_ok, this->status_of("/plain/1"));
            }
            CPPUNIT_ASSERT(wait_until([this] { return this->has_logged("state=renewal_failed", invalid_cause); }, 8s));
            CPPUNIT_ASSERT(this->has_logged("state=keyvalue_lost", invalid_cause));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, this->site->engine("p1").calls().size());
            this->site->store->set_answer_form(nullptr);
            CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == status_ok; }, 10s));
            CPPUNIT_ASSERT(wait_until(
                [this] {
                    this->status_of("/plain/1");
                    return !this->site->engine("p1").calls().empty();
                },
                10s));
            CPPUNIT_ASSERT(!this->has_logged("state=registration_ended"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->site->store->keys("radishstep/hosts/").size());
        }
    }

    // Guards against a host that starts with a configuration or a lease out of an invalid answer.
    void invalid_answers_of_the_store_make_no_starting_host_ready()
    {
        for (const auto& forms : {lenient_codings(), invalid_statuses()}) {
            this->site = std::make_unique<platform_site>(2, 0, 0);
            this->break_store_answers(forms);
            this->site->start_gateway();
            CPPUNIT_ASSERT(!this->site->wait_until_ready(4s));
            CPPUNIT_ASSERT(this->site->gateway()->is_running());
            CPPUNIT_ASSERT(!this->has_logged("state=registered"));
            this->site->store->set_answer_form(nullptr);
            CPPUNIT_ASSERT(this->site->wait_until_ready(10s));
            CPPUNIT_ASSERT(wait_until([this] { return this->has_logged("state=registered"); }, 10s));
            CPPUNIT_ASSERT_EQUAL(status_ok, this->status_of("/plain/1"));
        }
    }

private:
    /// Lets each answer of the store have the next of these forms.
    void break_store_answers(const std::vector<invalid_response>& forms)
    {
        const auto turn = std::make_shared<std::atomic<std::size_t>>(0);
        this->site->store->set_answer_form(
            [turn, forms](const std::string& body) { return forms[(*turn)++ % forms.size()].make({}, body); });
    }

    /// Returns whether a line of the gateway's log has both texts.
    bool has_logged(const std::string& state, const std::string& cause = "") const
    {
        std::istringstream log{this->site->log()};
        for (std::string line; std::getline(log, line);) {
            if (line.find(state + " ") != std::string::npos && line.find(cause) != std::string::npos)
                return true;
        }
        return false;
    }

    std::unique_ptr<platform_site> site;
    int sent = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_invalid_control_answers);

} // namespace
