#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr int events_before_break = 3;

std::string answer(const engine_call& call, unsigned status, bool is_not_executed = false)
{
    http::headers lines = engine_headers(call);
    lines.push_back({"Retry-After", "0.5"});
    if (is_not_executed)
        lines.push_back({"Not-Executed", "1"});
    return http_answer(status, lines, "the engine's text");
}

/// Endpoints that run a request and answer it, signed, with a status that means that it has not run.
class test_untrue_refusals : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_untrue_refusals);
    CPPUNIT_TEST(refusal_of_a_call_that_has_run_does_not_reach_its_caller);
    CPPUNIT_TEST(refusal_of_a_repeatable_call_that_has_run_is_answered_by_another_endpoint);
    CPPUNIT_TEST(refusals_of_all_endpoints_of_a_repeatable_call_do_not_reach_its_caller);
    CPPUNIT_TEST(refusal_of_a_stream_that_has_run_does_not_reach_its_caller);
    CPPUNIT_TEST(refusals_of_all_engines_of_a_resumable_stream_do_not_reach_its_caller);
    CPPUNIT_TEST(refusal_of_a_stream_that_its_caller_resumes_does_not_reach_the_caller);
    CPPUNIT_TEST(refusal_after_the_first_events_does_not_reach_the_caller);
    CPPUNIT_TEST(signed_refusal_that_says_not_executed_leaves_the_call_to_another_endpoint);
    CPPUNIT_TEST(signed_refusals_that_say_not_executed_are_told_to_the_caller);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->site = std::make_unique<platform_site>(2, 0, 2);
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
        CPPUNIT_ASSERT(this->site->wait_until_registered());
    }

    void tearDown() override { this->site.reset(); }

    void set_script(const std::string& id_prefix, const answer_script& script)
    {
        for (const auto& [id, engine] : this->site->engines) {
            if (id.starts_with(id_prefix))
                engine->set_script(script);
        }
    }

    site_response call(const std::string& path, const std::string& id, http::headers headers = {})
    {
        site_request request;
        request.path = path;
        request.id = id;
        request.extra_headers = std::move(headers);
        if (path.starts_with("/stream/") || path.starts_with("/resume/"))
            request.extra_headers.insert(request.extra_headers.end(),
                                         {{"Model", "m"}, {"Token-Count", "300,100"}, {"Prefix-Hash", "a:200,b:100"}});
        return this->site->call(request);
    }

    int runs(const std::string& request_id)
    {
        int sum = 0;
        for (const auto& [id, engine] : this->site->engines) {
            for (const engine_call& call : engine->calls())
                sum += call.id == request_id && call.has_run ? 1 : 0;
        }
        return sum;
    }

    /// Lets all endpoints run what they get and answer with each status in turn; calls `check` with the response to
    /// a request for `path`.
    template <typename Check>
    void for_each_status(const std::string& path, const http::headers& headers, Check check)
    {
        for (const unsigned status : {408U, 429U, 503U}) {
            this->set_script("",
                             [status](const engine_call& call) -> scripted_answer { return {{answer(call, status)}}; });
            const std::string id = "attempt-" + std::to_string(status);
            check(this->call(path, id, headers), id);
        }
    }

    /// Checks that the host's own answer says that the outcome is unknown.
    static void check_outcome_unknown(const site_response& response, const std::string& id)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(id, status_bad_gateway, response.status);
        CPPUNIT_ASSERT_MESSAGE(id, response.is_complete);
        CPPUNIT_ASSERT_MESSAGE(id, http::find_header(response.lines, "Server-Signature").empty());
        CPPUNIT_ASSERT_MESSAGE(id, http::find_header(response.lines, "Retry-After").empty());
        CPPUNIT_ASSERT_MESSAGE(id, response.body.find("the engine's text") == std::string::npos);
    }

    // Failure: an endpoint's signed 503 reached the caller of a deposit that had been charged; the caller repeated it.
    void refusal_of_a_call_that_has_run_does_not_reach_its_caller()
    {
        this->for_each_status("/once/1", {}, [this](const site_response& response, const std::string& id) {
            check_outcome_unknown(response, id);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 1, this->runs(id));
        });
    }

    // Guards against a 429 or 408 that ends a call as answered although another endpoint may serve it.
    void refusal_of_a_repeatable_call_that_has_run_is_answered_by_another_endpoint()
    {
        for (const unsigned status : {408U, 429U, 503U}) {
            this->set_script("p0",
                             [status](const engine_call& call) -> scripted_answer { return {{answer(call, status)}}; });
            for (int i = 0; i < 8; ++i) {
                const std::string id = std::to_string(status) + "-" + std::to_string(i);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 200U, this->call("/plain/1", id).status);
            }
        }
    }

    // Failure: the last endpoint's signed refusal was passed on for a call that endpoints had run.
    void refusals_of_all_endpoints_of_a_repeatable_call_do_not_reach_its_caller()
    {
        this->for_each_status("/plain/1", {}, [](const site_response& response, const std::string& id) {
            check_outcome_unknown(response, id);
        });
    }

    // Failure: as for plain calls, for a stream that may run once.
    void refusal_of_a_stream_that_has_run_does_not_reach_its_caller()
    {
        this->for_each_status("/stream/1", {}, [this](const site_response& response, const std::string& id) {
            check_outcome_unknown(response, id);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 1, this->runs(id));
        });
    }

    // Failure: the refusal of the last engine that a resumable stream may ask was passed on.
    void refusals_of_all_engines_of_a_resumable_stream_do_not_reach_its_caller()
    {
        this->for_each_status("/resume/1", {}, [](const site_response& response, const std::string& id) {
            check_outcome_unknown(response, id);
        });
    }

    // Failure: as above, for a caller that goes on after its third event.
    void refusal_of_a_stream_that_its_caller_resumes_does_not_reach_the_caller()
    {
        this->for_each_status(
            "/resume/1", {{"Last-Event-Id", "3"}},
            [](const site_response& response, const std::string& id) { check_outcome_unknown(response, id); });
    }

    // Guards against a refusal in a stream that has begun and is joined from the runs of two engines.
    void refusal_after_the_first_events_does_not_reach_the_caller()
    {
        this->set_script("d", [](const engine_call& call) -> scripted_answer {
            if (!http::find_header(call.request.lines, "Last-Event-Id").empty())
                return {{answer(call, status_unavailable)}};
            http::headers lines = engine_headers(call);
            lines.push_back({"Content-Type", "text/event-stream"});
            std::string events;
            for (int number = 1; number <= events_before_break; ++number)
                events += stream_event(call.id, number);
            return {{unframed_answer(200, lines, events)}, answer_end::reset};
        });
        const site_response response = this->call("/resume/1", "attempt-1");
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT(!response.is_complete);
        CPPUNIT_ASSERT(response.body.find("the engine's text") == std::string::npos);
    }

    // Guards against taking a signature as proof of a run: the engine says that it did not run the call.
    void signed_refusal_that_says_not_executed_leaves_the_call_to_another_endpoint()
    {
        for (const unsigned status : {429U, 503U}) {
            for (const char* refusing : {"p0", "d0"})
                this->set_script(refusing, [status](const engine_call& call) -> scripted_answer {
                    return {{answer(call, status, true)}, answer_end::keep_open, false};
                });
            for (const char* path : {"/once/1", "/stream/1"}) {
                const std::string id = std::to_string(status) + path;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 200U, this->call(path, id).status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 1, this->runs(id));
            }
        }
    }

    // Guards against 502 for calls that all endpoints refused unrun, which their callers could not repeat.
    void signed_refusals_that_say_not_executed_are_told_to_the_caller()
    {
        this->set_script("", [](const engine_call& call) -> scripted_answer {
            return {{answer(call, status_unavailable, true)}, answer_end::keep_open, false};
        });
        for (const char* path : {"/once/1", "/stream/1"}) {
            const site_response response = this->call(path, std::string{"attempt-"} + path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, status_unavailable, response.status);
            CPPUNIT_ASSERT_MESSAGE(path, http::find_header(response.lines, "Server-Signature").empty());
            CPPUNIT_ASSERT_MESSAGE(path, !http::find_header(response.lines, "Retry-After").empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, 0, this->runs(std::string{"attempt-"} + path));
        }
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_untrue_refusals);

} // namespace
