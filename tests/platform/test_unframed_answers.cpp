#include <cppunit/extensions/HelperMacros.h>

#include <array>

#include "base/text.h"
#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_gateway_timeout = 504;

using answer_builder = std::string (*)(unsigned, const http::headers&, const std::string&);
/// Body framing: a length, chunks, or neither.
constexpr std::array<answer_builder, 3> framings{http_answer, chunked_answer, unframed_answer};

/// Answers that end with their connection, and streams that end inside an event, through a gateway process.
class test_unframed_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_unframed_answers);
    CPPUNIT_TEST(stream_that_ends_with_its_connection_is_complete);
    CPPUNIT_TEST(stream_that_ends_inside_an_event_is_not_complete);
    CPPUNIT_TEST(stream_that_ended_inside_an_event_goes_on_at_another_engine);
    CPPUNIT_TEST(stream_that_ends_before_its_first_event_is_not_complete);
    CPPUNIT_TEST(stream_reset_before_its_end_is_not_complete);
    CPPUNIT_TEST(reset_of_a_silent_engine_does_not_complete_its_stream);
    CPPUNIT_TEST(plain_answer_that_ends_with_its_connection_is_forwarded_whole);
    CPPUNIT_TEST(plain_answer_reset_before_its_end_is_not_forwarded);
    CPPUNIT_TEST(plain_answer_that_stays_open_is_not_complete);
    CPPUNIT_TEST(fields_after_the_last_chunk_decide_nothing);
    CPPUNIT_TEST(announced_length_beyond_the_bound_costs_no_memory);
    CPPUNIT_TEST(answer_that_ends_inside_its_head_is_not_complete);
    CPPUNIT_TEST(head_cut_while_a_stream_is_resumed_does_not_complete_it);
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

    site_response call(const std::string& path, int deadline_ms = 3'000)
    {
        site_request request;
        request.path = path;
        request.deadline_ms = deadline_ms;
        if (!path.starts_with("/plain/") && !path.starts_with("/once/"))
            request.extra_headers = {{"Model", "m"}, {"Token-Count", "300,100"}, {"Prefix-Hash", "a:200,b:100"}};
        return this->site->call(request);
    }

    /// Returns the answer to a streamed call: events up to number `last`, then `rest`.
    static std::string stream_answer(const engine_call& call, answer_builder build, int last, const std::string& rest)
    {
        const auto start = to_integer(http::find_header(call.request.lines, "Last-Event-Id")).value_or(0);
        std::string body;
        for (int number = static_cast<int>(start) + 1; number <= last; ++number)
            body += stream_event(call.id, number);
        http::headers lines = engine_headers(call);
        lines.push_back({"Content-Type", "text/event-stream"});
        return build(status_ok, lines, body + rest);
    }

    static bool is_resumed(const engine_call& call)
    {
        return !http::find_header(call.request.lines, "Last-Event-Id").empty();
    }

    static scripted_answer whole_unframed_stream(const engine_call& call)
    {
        return {{stream_answer(call, unframed_answer, standin_engine::stream_events, "")}, answer_end::close};
    }

    /// Returns a script under which a stream breaks in its fourth event and the run that resumes it is whole.
    static answer_script torn_stream(answer_builder build, answer_end end)
    {
        return [build, end](const engine_call& call) -> scripted_answer {
            if (is_resumed(call))
                return whole_unframed_stream(call);
            constexpr int whole_events = 3;
            const std::string torn_event = stream_event(call.id, whole_events + 1).substr(0, 9);
            return {{stream_answer(call, build, whole_events, torn_event)}, end};
        };
    }

    // Guards against sound streams without framing that are taken for broken ones.
    void stream_that_ends_with_its_connection_is_complete()
    {
        this->site->set_script(whole_unframed_stream);
        for (const char* path : {"/stream/1", "/resume/1"}) {
            const site_response response = this->call(path);
            CPPUNIT_ASSERT(response.is_complete);
            CPPUNIT_ASSERT_EQUAL(whole_stream("attempt-1"), response.body);
        }
    }

    // Guards against torn streams that callers take for complete ones.
    void stream_that_ends_inside_an_event_is_not_complete()
    {
        for (const answer_builder build : framings) {
            this->site->set_script(torn_stream(build, answer_end::close));
            const site_response response = this->call("/stream/1");
            CPPUNIT_ASSERT(!response.is_complete);
            CPPUNIT_ASSERT(whole_stream("attempt-1").starts_with(response.body));
        }
    }

    // Guards against torn streams that end although another engine could go on.
    void stream_that_ended_inside_an_event_goes_on_at_another_engine()
    {
        for (const answer_builder build : framings) {
            this->site->set_script(torn_stream(build, answer_end::close));
            const site_response response = this->call("/resume/1");
            CPPUNIT_ASSERT(response.is_complete);
            CPPUNIT_ASSERT_EQUAL(whole_stream("attempt-1"), response.body);
        }
    }

    // Guards against an engine that ends right after a response head and whose empty stream counts as an answer.
    void stream_that_ends_before_its_first_event_is_not_complete()
    {
        this->site->set_script([](const engine_call& call) -> scripted_answer {
            return {{stream_answer(call, unframed_answer, 0, "")}, answer_end::close};
        });
        CPPUNIT_ASSERT(!this->call("/stream/1").is_complete);
        CPPUNIT_ASSERT(!this->call("/resume/1").is_complete);
    }

    // Guards against a reset that is taken for the regular end of an answer without framing.
    void stream_reset_before_its_end_is_not_complete()
    {
        this->site->set_script([](const engine_call& call) -> scripted_answer {
            if (is_resumed(call))
                return whole_unframed_stream(call);
            return {{stream_answer(call, unframed_answer, 3, "")}, answer_end::reset};
        });
        CPPUNIT_ASSERT(!this->call("/stream/1").is_complete);
        CPPUNIT_ASSERT_EQUAL(whole_stream("attempt-1"), this->call("/resume/1").body);
    }

    // Failure: a stream without framing was reset while its engine was silent and another one was asked. The reset was
    // found, and the events that had come were sent as the whole stream.
    void reset_of_a_silent_engine_does_not_complete_its_stream()
    {
        this->site->set_script([](const engine_call& call) -> scripted_answer {
            if (is_resumed(call)) {
                const std::string rest = stream_answer(call, unframed_answer, standin_engine::stream_events, "");
                return {{"", rest}, answer_end::close, true, 3s};
            }
            scripted_answer silent{{stream_answer(call, unframed_answer, 3, "")}, answer_end::reset};
            silent.reset_delay = 1'350ms;
            return silent;
        });
        const site_response response = this->call("/resume/1", 8'000);
        CPPUNIT_ASSERT(this->site->log().find("decision=engine_silent") != std::string::npos);
        CPPUNIT_ASSERT(whole_stream("attempt-1").starts_with(response.body));
        CPPUNIT_ASSERT(!response.is_complete || response.body == whole_stream("attempt-1"));
    }

    // Guards against answers without framing that are lost, failures among them.
    void plain_answer_that_ends_with_its_connection_is_forwarded_whole()
    {
        constexpr unsigned status_internal_error = 500;
        for (const unsigned status : {status_ok, status_internal_error}) {
            this->site->set_script([status](const engine_call& call) -> scripted_answer {
                return {
                    {unframed_answer(status, engine_headers(call), "first "), "second"}, answer_end::close, true, 20ms};
            });
            for (const char* path : {"/plain/1", "/once/1"}) {
                const site_response response = this->call(path);
                CPPUNIT_ASSERT_EQUAL(status, response.status);
                CPPUNIT_ASSERT(response.is_complete);
                CPPUNIT_ASSERT_EQUAL(std::string{"first second"}, response.body);
            }
        }
    }

    // Guards against parts of answers that callers take for the whole.
    void plain_answer_reset_before_its_end_is_not_forwarded()
    {
        this->site->set_script([](const engine_call& call) -> scripted_answer {
            return {{unframed_answer(status_ok, engine_headers(call), "first ")}, answer_end::reset};
        });
        for (const char* path : {"/plain/1", "/once/1"})
            CPPUNIT_ASSERT_EQUAL(status_bad_gateway, this->call(path).status);
    }

    // Guards against answers without an end that are forwarded when the time is over.
    void plain_answer_that_stays_open_is_not_complete()
    {
        this->site->set_script([](const engine_call& call) -> scripted_answer {
            return {{unframed_answer(status_ok, engine_headers(call), "first ")}, answer_end::keep_open};
        });
        const unsigned status = this->call("/once/1", 600).status;
        CPPUNIT_ASSERT(status == status_bad_gateway || status == status_gateway_timeout);
    }

    // Guards against a length that no memory suffices for, which is reserved before the first byte of the body.
    void announced_length_beyond_the_bound_costs_no_memory()
    {
        this->site->set_script([](const engine_call& call) -> scripted_answer {
            http::headers lines = engine_headers(call);
            lines.push_back({"Content-Length", "1000000000000000000"});
            return {{unframed_answer(status_ok, lines, "first ")}, answer_end::keep_open};
        });
        for (const char* path : {"/plain/1", "/once/1"})
            CPPUNIT_ASSERT_EQUAL(status_bad_gateway, this->call(path, 600).status);
        this->site->set_script(nullptr);
        CPPUNIT_ASSERT_EQUAL(status_ok, this->call("/once/1").status);
    }

    // Guards against a field after an answer's last chunk that decides as if it stood in the head: a request that ran
    // would run again, or its caller would not get the answer.
    void fields_after_the_last_chunk_decide_nothing()
    {
        for (const std::string field : {"Not-Executed: 1", "Content-Encoding: gzip"}) {
            this->site->set_script([field](const engine_call& call) -> scripted_answer {
                std::string bytes = chunked_answer(status_ok, engine_headers(call), "whole answer");
                const std::size_t last_line_end = bytes.size() - 2;
                bytes.insert(last_line_end, field + "\r\n");
                return {{bytes}};
            });
            const int runs_before = this->site->total_runs();
            const site_response response = this->call("/once/1");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(field, 1, this->site->total_runs() - runs_before);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(field, status_ok, response.status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(field, std::string{"whole answer"}, response.body);
        }
    }

    /// Returns a script that ends each answer after `size` bytes, inside its head.
    static answer_script cut_head(answer_builder build, std::size_t size, answer_end end)
    {
        return [build, size, end](const engine_call& call) -> scripted_answer {
            return {{stream_answer(call, build, standin_engine::stream_events, "").substr(0, size)}, end};
        };
    }

    static std::size_t head_size(answer_builder build)
    {
        engine_call call;
        call.id = "attempt-1";
        return stream_answer(call, build, standin_engine::stream_events, "").find("\r\n\r\n") + 4;
    }

    // Failure: an endpoint that closed inside the head of its answer got its caller a 200 with an empty body.
    void answer_that_ends_inside_its_head_is_not_complete()
    {
        for (const answer_builder build : framings) {
            for (std::size_t size = 0; size < head_size(build); ++size) {
                this->site->set_script(cut_head(build, size, size % 2 == 0 ? answer_end::close : answer_end::reset));
                for (const char* path : {"/plain/1", "/once/1", "/stream/1", "/resume/1"}) {
                    const int runs_before = this->site->total_runs();
                    const site_response response = this->call(path);
                    const std::string step = path + std::string{" "} + std::to_string(size);
                    CPPUNIT_ASSERT_MESSAGE(step, response.status >= status_bad_gateway);
                    CPPUNIT_ASSERT_MESSAGE(step, this->site->total_runs() > runs_before);
                }
            }
        }
    }

    // Failure: as above, by the engine that goes on with a broken stream.
    void head_cut_while_a_stream_is_resumed_does_not_complete_it()
    {
        for (const answer_builder build : framings) {
            const std::size_t whole_head = head_size(build);
            for (const std::size_t size : {whole_head / 2, whole_head - 2, whole_head - 1}) {
                this->site->set_script([build, size](const engine_call& call) -> scripted_answer {
                    if (is_resumed(call))
                        return cut_head(build, size, answer_end::close)(call);
                    return torn_stream(build, answer_end::close)(call);
                });
                const site_response response = this->call("/resume/1", 1'500);
                CPPUNIT_ASSERT_EQUAL(status_ok, response.status);
                CPPUNIT_ASSERT(!response.is_complete);
                CPPUNIT_ASSERT(whole_stream("attempt-1").starts_with(response.body));
            }
        }
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_unframed_answers);

} // namespace
