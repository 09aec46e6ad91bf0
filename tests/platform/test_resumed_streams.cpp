#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <string>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

constexpr unsigned status_ok = 200;
constexpr int events_before_break = 3;

std::string events(const std::string& request_id, int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number)
        text += stream_event(request_id, number);
    return text;
}

std::string answer_to(const engine_call& call, unsigned status, const std::string& content_type,
                      const std::string& body)
{
    http::headers lines = engine_headers(call);
    lines.push_back({"Content-Type", content_type});
    return unframed_answer(status, lines, body);
}

std::string stream_answer(const engine_call& call, const std::string& body)
{
    return answer_to(call, status_ok, "text/event-stream", body);
}

/// Streams that have begun and broken off, and what the next engine answers.
class test_resumed_streams : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_resumed_streams);
    CPPUNIT_TEST(error_of_the_next_engine_stays_out_of_the_stream);
    CPPUNIT_TEST(refusal_of_the_next_engine_stays_out_of_the_stream);
    CPPUNIT_TEST(answer_of_another_kind_stays_out_of_the_stream);
    CPPUNIT_TEST(response_head_inside_a_stream_is_not_forwarded);
    CPPUNIT_TEST(run_that_starts_again_from_the_first_event_repeats_nothing);
    CPPUNIT_TEST(run_that_leaves_out_an_event_is_not_joined);
    CPPUNIT_TEST(run_without_event_ids_is_not_joined);
    CPPUNIT_TEST(stream_without_event_ids_is_not_resumed);
    CPPUNIT_TEST(stream_broken_after_its_last_event_completes);
    CPPUNIT_TEST(lost_runs_count_against_the_most_endpoints);
    CPPUNIT_TEST_SUITE_END();

public:
    void start(int decode_engines)
    {
        this->site = std::make_unique<platform_site>(1, 0, decode_engines);
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
        CPPUNIT_ASSERT(this->site->wait_until_registered());
    }

    void setUp() override { this->start(2); }
    void tearDown() override { this->site.reset(); }

    void set_script(const answer_script& script)
    {
        for (const auto& [id, engine] : this->site->engines)
            engine->set_script(script);
    }

    /// Lets each stream break after its third event; `resumed` answers the calls that resume it.
    void set_resumed_answer(const answer_script& resumed)
    {
        this->set_script([resumed](const engine_call& call) -> scripted_answer {
            if (!http::find_header(call.request.lines, "Last-Event-Id").empty())
                return resumed(call);
            return {{stream_answer(call, events(call.id, 1, events_before_break))}, answer_end::reset};
        });
    }

    site_response stream()
    {
        site_request request;
        request.path = "/resume/1";
        request.deadline_ms = 2'500;
        request.extra_headers = {{"Model", "m"}, {"Token-Count", "300,100"}, {"Prefix-Hash", "a:200,b:100"}};
        return this->site->call(request);
    }

    int total_runs()
    {
        int sum = 0;
        for (const auto& [id, engine] : this->site->engines)
            sum += engine->runs();
        return sum;
    }

    /// Returns the number of calls that resume a stream.
    std::ptrdiff_t resuming_calls()
    {
        std::ptrdiff_t sum = 0;
        for (const auto& [id, engine] : this->site->engines) {
            sum += std::ranges::count_if(engine->calls(), [](const engine_call& call) {
                return !http::find_header(call.request.lines, "Last-Event-Id").empty();
            });
        }
        return sum;
    }

    /// Checks that the stream is resumed, and that its caller gets the events before the break, nothing else and no
    /// end.
    void check_is_cut(const std::string& name)
    {
        const std::ptrdiff_t resumed_before = this->resuming_calls();
        const site_response response = this->stream();
        CPPUNIT_ASSERT_MESSAGE(name, this->resuming_calls() > resumed_before);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, status_ok, response.status);
        CPPUNIT_ASSERT_MESSAGE(name, !response.is_complete);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(name, events("attempt-1", 1, events_before_break), response.body);
    }

    // Guards against an engine's error text in the middle of a stream, and against its end counting as the stream's.
    void error_of_the_next_engine_stays_out_of_the_stream()
    {
        for (const unsigned status : {400U, 404U, 413U, 500U, 503U, 504U}) {
            this->set_resumed_answer([status](const engine_call& call) -> scripted_answer {
                return {{answer_to(call, status, "application/json", "{\"error\": \"it failed\"}\n\n")},
                        answer_end::close};
            });
            this->check_is_cut(std::to_string(status));
        }
    }

    // Guards against a refusal's text in the middle of a stream.
    void refusal_of_the_next_engine_stays_out_of_the_stream()
    {
        for (const unsigned status : {421U, 429U, 503U}) {
            this->set_resumed_answer([status](const engine_call& call) -> scripted_answer {
                const http::headers lines{{"Attempt-Id", call.id}, {"Not-Executed", "1"}};
                return {{http_answer(status, lines, "refused\n\n")}, answer_end::close, false};
            });
            this->check_is_cut(std::to_string(status));
        }
    }

    // Guards against successful answers that are no streams, and bytes that are no answer, in the middle of a stream.
    void answer_of_another_kind_stays_out_of_the_stream()
    {
        for (const char* type : {"application/json", "text/html", "application/octet-stream"}) {
            this->set_resumed_answer([type](const engine_call& call) -> scripted_answer {
                return {{answer_to(call, status_ok, type, "not an event\n\nnor this")}, answer_end::close};
            });
            this->check_is_cut(type);
        }
        this->set_resumed_answer([](const engine_call&) -> scripted_answer {
            return {{std::string{"id: 4\ndata: no head\n\n"}}, answer_end::close};
        });
        this->check_is_cut("no response head");
    }

    // Guards against an engine that writes another response into its stream.
    void response_head_inside_a_stream_is_not_forwarded()
    {
        for (const char* line_end : {"\n", "\r\n"}) {
            const std::string second_head =
                std::string{"HTTP/1.1 500 Failed"} + line_end + "Content-Type: application/json" + line_end + line_end;
            this->set_resumed_answer([second_head](const engine_call& call) -> scripted_answer {
                return {{stream_answer(call, second_head + "{\"error\": \"it failed\"}\n\n")}, answer_end::close};
            });
            this->check_is_cut("at the start of a run");
            this->set_script([second_head](const engine_call& call) -> scripted_answer {
                const std::string body = events(call.id, 1, events_before_break) + second_head + "{}\n\n";
                return {{stream_answer(call, body)}, answer_end::close};
            });
            this->check_is_cut("in the first run");
        }
    }

    // Guards against events that a caller gets twice.
    void run_that_starts_again_from_the_first_event_repeats_nothing()
    {
        this->set_resumed_answer([](const engine_call& call) -> scripted_answer {
            return {{stream_answer(call, whole_stream(call.id))}, answer_end::close};
        });
        const site_response response = this->stream();
        CPPUNIT_ASSERT(response.is_complete);
        CPPUNIT_ASSERT_EQUAL(whole_stream("attempt-1"), response.body);
    }

    // Guards against a stream that lacks the events between the break and the first event of the run that resumes it.
    void run_that_leaves_out_an_event_is_not_joined()
    {
        this->set_resumed_answer([](const engine_call& call) -> scripted_answer {
            const std::string rest = events(call.id, events_before_break + 2, standin_engine::stream_events);
            return {{stream_answer(call, rest)}, answer_end::close};
        });
        this->check_is_cut("event 4 is missing");
    }

    // Guards against events of which nobody knows whether the caller has them.
    void run_without_event_ids_is_not_joined()
    {
        this->set_resumed_answer([](const engine_call& call) -> scripted_answer {
            return {{stream_answer(call, "data: event 1\n\ndata: event 2\n\n")}, answer_end::close};
        });
        this->check_is_cut("no ids");
    }

    // Guards against a stream that starts again in the middle since its first run had no ids.
    void stream_without_event_ids_is_not_resumed()
    {
        this->set_script([](const engine_call& call) -> scripted_answer {
            return {{stream_answer(call, "data: event 1\n\n")}, answer_end::reset};
        });
        const site_response response = this->stream();
        CPPUNIT_ASSERT(!response.is_complete);
        CPPUNIT_ASSERT_EQUAL(std::string{"data: event 1\n\n"}, response.body);
        CPPUNIT_ASSERT_EQUAL(1, this->total_runs());
    }

    // Guards against a stream that stays incomplete although only its end was lost.
    void stream_broken_after_its_last_event_completes()
    {
        this->set_script([](const engine_call& call) -> scripted_answer {
            const bool is_resumed = !http::find_header(call.request.lines, "Last-Event-Id").empty();
            const std::string body = is_resumed ? "" : whole_stream(call.id);
            return {{stream_answer(call, body)}, is_resumed ? answer_end::close : answer_end::reset};
        });
        const site_response response = this->stream();
        CPPUNIT_ASSERT(response.is_complete);
        CPPUNIT_ASSERT_EQUAL(whole_stream("attempt-1"), response.body);
    }

    // Guards against more runs than the route allows when engines end without an answer.
    void lost_runs_count_against_the_most_endpoints()
    {
        this->tearDown();
        this->start(4);
        this->set_resumed_answer([](const engine_call&) -> scripted_answer { return {{}, answer_end::reset}; });
        this->check_is_cut("lost runs");
        CPPUNIT_ASSERT_EQUAL(2, this->total_runs());
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_resumed_streams);

} // namespace
