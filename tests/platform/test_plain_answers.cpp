#include <cppunit/extensions/HelperMacros.h>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

/// Calls to plain endpoints through the gateway as a process, with one thing wrong at a time.
class test_plain_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_plain_answers);
    CPPUNIT_TEST(whole_answer_is_passed_on_unchanged);
    CPPUNIT_TEST(broken_answers_never_reach_the_caller);
    CPPUNIT_TEST(idempotent_call_moves_on_from_a_broken_endpoint);
    CPPUNIT_TEST(non_idempotent_call_runs_once_when_the_answer_is_lost);
    CPPUNIT_TEST(refusal_is_given_only_when_nothing_ran);
    CPPUNIT_TEST(endpoint_failure_is_passed_on_with_its_status);
    CPPUNIT_TEST(routers_headers_are_not_taken_from_callers);
    CPPUNIT_TEST(time_handed_on_is_what_is_left);
    CPPUNIT_TEST(late_second_answer_reaches_nobody);
    CPPUNIT_TEST(callers_leaving_stops_the_endpoint);
    CPPUNIT_TEST(silent_endpoint_gets_a_final_answer_at_the_time_limit);
    CPPUNIT_TEST(retries_stay_within_the_budget);
    CPPUNIT_TEST(reused_address_is_noticed);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->site = std::make_unique<platform_site>();
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
    }

    void tearDown() override { this->site.reset(); }

    void set_fault_everywhere(engine_fault fault)
    {
        for (const auto& [id, engine] : this->site->engines)
            engine->set_fault(fault);
    }

    int runs_everywhere()
    {
        int sum = 0;
        for (const auto& [id, engine] : this->site->engines)
            sum += engine->runs();
        return sum;
    }

    site_response call(const std::string& path, const std::string& id = "attempt-1")
    {
        site_request request;
        request.path = path;
        request.id = id;
        return this->site->call(request);
    }

    void whole_answer_is_passed_on_unchanged()
    {
        const site_response got = this->call("/plain/1");
        CPPUNIT_ASSERT_EQUAL(200U, got.status);
        CPPUNIT_ASSERT(got.is_complete);
        CPPUNIT_ASSERT(got.body.starts_with("whole answer of p"));
        CPPUNIT_ASSERT(!http::find_header(got.lines, "Server-Signature").empty());
        CPPUNIT_ASSERT(http::find_header(got.lines, "Attempt-Id") == "attempt-1");
    }

    void broken_answers_never_reach_the_caller()
    {
        for (const engine_fault fault :
             {engine_fault::cut_body, engine_fault::wrong_id, engine_fault::no_signature, engine_fault::encoded}) {
            this->set_fault_everywhere(fault);
            const site_response got = this->call("/once/1");
            CPPUNIT_ASSERT_EQUAL_MESSAGE("fault " + std::to_string(static_cast<int>(fault)), 502U, got.status);
            CPPUNIT_ASSERT(http::find_header(got.lines, "Server-Signature").empty());
        }
    }

    void idempotent_call_moves_on_from_a_broken_endpoint()
    {
        this->site->engine("p0").set_fault(engine_fault::reset_after_run);
        constexpr int calls = 8;
        for (int i = 0; i < calls; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, this->call("/plain/1", "attempt-" + std::to_string(i)).status);
    }

    void non_idempotent_call_runs_once_when_the_answer_is_lost()
    {
        this->set_fault_everywhere(engine_fault::reset_after_run);
        const site_response got = this->call("/once/1");
        CPPUNIT_ASSERT_EQUAL(502U, got.status);
        CPPUNIT_ASSERT_EQUAL(1, this->runs_everywhere());
    }

    void refusal_is_given_only_when_nothing_ran()
    {
        this->set_fault_everywhere(engine_fault::shed);
        const site_response refused = this->call("/once/1");
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        CPPUNIT_ASSERT(!http::find_header(refused.lines, "Retry-After").empty());
        CPPUNIT_ASSERT_EQUAL(0, this->runs_everywhere());
        this->site->engine("p0").set_fault(engine_fault::reset_after_run);
        for (int i = 0; i < 6; ++i) {
            const int before = this->runs_everywhere();
            const site_response got = this->call("/once/1", "later-" + std::to_string(i));
            CPPUNIT_ASSERT_EQUAL(this->runs_everywhere() == before ? 503U : 502U, got.status);
        }
    }

    void endpoint_failure_is_passed_on_with_its_status()
    {
        this->set_fault_everywhere(engine_fault::error_500);
        const site_response got = this->call("/once/1");
        CPPUNIT_ASSERT_EQUAL(500U, got.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"engine failure"}, got.body);
        CPPUNIT_ASSERT(!http::find_header(got.lines, "Server-Signature").empty());
    }

    void routers_headers_are_not_taken_from_callers()
    {
        site_request request;
        request.path = "/plain/1?q=%20x";
        request.body = "as it is";
        request.extra_headers = {{"Kv-Hold", "h"},  {"Kv-Source", "1.2.3.4:5/h"}, {"Pin-Ms", "4000"}, {"Kv-Backup", "1.2.3.4:5"},
                     {"X-Kept", "yes"}, {"Serving-Phase", "prefill"}};
        CPPUNIT_ASSERT_EQUAL(200U, this->site->call(request).status);
        for (const auto& [id, engine] : this->site->engines) {
            for (const engine_call& call : engine->calls()) {
                CPPUNIT_ASSERT_EQUAL(std::string{"as it is"}, call.asked.body);
                CPPUNIT_ASSERT_EQUAL(request.path, call.asked.target);
                CPPUNIT_ASSERT(http::find_header(call.asked.lines, "X-Kept") == "yes");
                CPPUNIT_ASSERT(http::find_header(call.asked.lines, "Host") == "site.example");
                for (const char* name : {"Kv-Hold", "Kv-Source", "Pin-Ms", "Kv-Backup", "Serving-Phase"})
                    CPPUNIT_ASSERT(http::find_header(call.asked.lines, name).empty());
            }
        }
    }

    void time_handed_on_is_what_is_left()
    {
        site_request request;
        request.deadline_ms = 800;
        CPPUNIT_ASSERT_EQUAL(200U, this->site->call(request).status);
        for (const auto& [id, engine] : this->site->engines) {
            for (const engine_call& call : engine->calls()) {
                const int left = std::stoi(std::string{http::find_header(call.asked.lines, "Deadline-Ms")});
                CPPUNIT_ASSERT(left > 0 && left <= 800);
            }
        }
    }

    void late_second_answer_reaches_nobody()
    {
        this->set_fault_everywhere(engine_fault::extra_answer);
        for (int i = 0; i < 10; ++i) {
            const site_response got = this->call("/plain/1", "attempt-" + std::to_string(i));
            CPPUNIT_ASSERT_EQUAL(200U, got.status);
            CPPUNIT_ASSERT(got.body.starts_with("whole answer"));
            CPPUNIT_ASSERT(http::find_header(got.lines, "Attempt-Id") == "attempt-" + std::to_string(i));
        }
    }

    void callers_leaving_stops_the_endpoint()
    {
        this->site->engine("p0").set_work_time(2s);
        this->site->engine("p1").set_work_time(2s);
        site_request request;
        request.disconnect_after = 100ms;
        this->site->call(request);
        CPPUNIT_ASSERT(wait_until(
            [this] {
                for (const auto& [id, engine] : this->site->engines) {
                    for (const engine_call& call : engine->calls()) {
                        if (call.caller_left)
                            return true;
                    }
                }
                return false;
            },
            500ms));
    }

    void silent_endpoint_gets_a_final_answer_at_the_time_limit()
    {
        this->set_fault_everywhere(engine_fault::never_answers);
        site_request request;
        request.path = "/once/1";
        request.deadline_ms = 600;
        const auto start = std::chrono::steady_clock::now();
        const site_response got = this->site->call(request);
        CPPUNIT_ASSERT(got.status == 502U || got.status == 504U);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < 1'100ms);
        CPPUNIT_ASSERT_EQUAL(1, this->runs_everywhere());
    }

    void retries_stay_within_the_budget()
    {
        this->set_fault_everywhere(engine_fault::error_500);
        constexpr int requests = 60;
        for (int i = 0; i < requests; ++i)
            this->call("/plain/1", "attempt-" + std::to_string(i));
        constexpr double ratio = 0.2;
        constexpr double slack = 20;
        CPPUNIT_ASSERT(this->runs_everywhere() <= requests + static_cast<int>(ratio * requests + slack));
    }

    void reused_address_is_noticed()
    {
        this->site->engine("p0").set_fault(engine_fault::other_instance);
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, this->call("/once/1", "attempt-" + std::to_string(i)).status);
        CPPUNIT_ASSERT_EQUAL(0, this->site->engine("p0").runs());
        for (const engine_call& call : this->site->engine("p1").calls())
            CPPUNIT_ASSERT(http::find_header(call.asked.lines, "Expect-Instance") == "p1");
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_plain_answers);

} // namespace
