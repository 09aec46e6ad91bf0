#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

#include "invalid_responses.h"
#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_gateway = 502;
constexpr std::size_t upload_bytes = 3'000'000;
constexpr int max_body_bytes = 4'000'000;
const std::string engine_body = "the engine's own body";

scripted_answer closed_after(const std::string& bytes)
{
    return {{bytes}, answer_end::close};
}

bool is_resumed(const engine_call& call)
{
    return !http::find_header(call.request.lines, "Last-Event-Id").empty();
}

std::string stream_events(const engine_call& call, int first, int last)
{
    std::string events;
    for (int number = first; number <= last; ++number)
        events += stream_event(call.id, number);
    return events;
}

std::string unframed_stream(const engine_call& call, int first, int last)
{
    http::headers lines = engine_headers(call);
    lines.push_back({"Content-Type", "text/event-stream"});
    return unframed_answer(status_ok, lines, stream_events(call, first, last));
}

/// Engines whose answers to calls of clients are no sound HTTP. Their callers get a 502, and what may not be repeated
/// runs once.
class test_invalid_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_invalid_answers);
    CPPUNIT_TEST(status_outside_the_final_classes_is_no_answer);
    CPPUNIT_TEST(body_in_a_coding_other_than_chunks_is_no_answer);
    CPPUNIT_TEST(malformed_line_is_no_answer);
    CPPUNIT_TEST(invalid_answer_that_denies_a_run_is_not_believed);
    CPPUNIT_TEST(invalid_answer_is_found_in_a_head_that_comes_in_pieces);
    CPPUNIT_TEST(invalid_answer_on_a_reused_connection_is_no_answer);
    CPPUNIT_TEST(sound_engine_answers_what_another_one_broke);
    CPPUNIT_TEST(invalid_answer_to_a_resumed_stream_adds_nothing_to_it);
    CPPUNIT_TEST(invalid_answer_is_logged_and_counted_with_its_reason);
    CPPUNIT_TEST(malformed_answer_is_no_sign_of_a_crash);
    CPPUNIT_TEST(unusual_but_sound_heads_are_passed_on);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->site = std::make_unique<platform_site>(2, 0, 2);
        this->site->set_caller_limits(8'192, max_body_bytes);
        this->site->set_retry_slack(10'000);
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
        CPPUNIT_ASSERT(this->site->wait_until_registered());
    }

    void tearDown() override { this->site.reset(); }

    /// Sends a request; a stream that goes on after event `last_event_id`, if it is given.
    site_response call(const std::string& path, std::string body = "body", const std::string& last_event_id = "")
    {
        site_request request;
        request.path = path;
        ++this->sent;
        request.id = this->last_id();
        request.body = std::move(body);
        if (path.starts_with("/stream/") || path.starts_with("/resume/"))
            request.extra_headers = {{"Model", "m"}, {"Token-Count", "300,100"}, {"Prefix-Hash", "a:200,b:100"}};
        if (!last_event_id.empty())
            request.extra_headers.push_back({"Last-Event-Id", last_event_id});
        return this->site->call(request);
    }

    std::string last_id() const { return "attempt-" + std::to_string(this->sent); }

    /// Returns whether a caller can tell that the answer is not whole: it got a failure of the router's own, or some of
    /// the engine's events and no end.
    bool is_known_to_fail(const site_response& response)
    {
        if (response.status == status_ok && !response.is_complete)
            return whole_stream(this->last_id()).find(response.body) != std::string::npos;
        return response.is_complete && response.status == status_bad_gateway &&
               http::find_header(response.lines, "Server-Signature").empty() &&
               response.body.find(engine_body) == std::string::npos;
    }

    /// Returns what is wrong with the outcome of a call that must fail after `runs` runs, or "".
    std::string find_fault(const std::string& path, int runs, std::string body = "body",
                           const std::string& last_event_id = "")
    {
        const int runs_before = this->site->total_runs();
        const site_response response = this->call(path, std::move(body), last_event_id);
        const int new_runs = this->site->total_runs() - runs_before;
        if (this->is_known_to_fail(response) && new_runs == runs)
            return "";
        return path + ": " + std::to_string(new_runs) + " runs, status " + std::to_string(response.status) +
               (response.is_complete ? ", whole, '" : ", broken off, '") + response.body + "'; ";
    }

    /// Checks that no form is passed on, to any kind of call.
    void check_forms(const std::vector<invalid_response>& forms)
    {
        std::string faults;
        for (const invalid_response& form : forms) {
            this->site->set_script([form](const engine_call& call) {
                const bool is_stream = call.kind == "decode";
                return closed_after(form.make(call, is_stream ? stream_events(call, 1, 8) : engine_body));
            });
            std::string form_faults = this->find_fault("/once/1", 1);
            form_faults += this->find_fault("/plain/1", 2);
            form_faults += this->find_fault("/once/1", 1, std::string(upload_bytes, 'u'));
            form_faults += this->find_fault("/stream/1", 1);
            form_faults += this->find_fault("/resume/1", 2);
            form_faults += this->find_fault("/resume/1", 2, "body", "3");
            if (!form_faults.empty())
                faults += "\n" + form.name + ": " + form_faults;
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against clients that get an engine's status 000, 1xx or 600 as an answer.
    void status_outside_the_final_classes_is_no_answer() { this->check_forms(invalid_statuses()); }

    // Guards against bodies with the engine's framing or coded bytes in them.
    void body_in_a_coding_other_than_chunks_is_no_answer() { this->check_forms(invalid_codings()); }

    // Guards against malformed lines that are passed on, or that hide where the body ends.
    void malformed_line_is_no_answer() { this->check_forms(malformed_lines()); }

    // Guards against a refusal that says "not run" on the word of an engine whose answers are invalid.
    void invalid_answer_that_denies_a_run_is_not_believed()
    {
        const std::string denial = "Not-Executed: 1\r\nContent-Length: 0\r\n";
        const std::string coded_denial = "Not-Executed: 1\r\nTransfer-Encoding: gzip, chunked\r\n";
        const std::vector<invalid_response> forms{
            {"status 000",
             [=](const engine_call& call, const std::string&) { return raw_answer(call, "000", denial, ""); }},
            {"coded 503",
             [=](const engine_call& call, const std::string&) { return raw_answer(call, "503", coded_denial, ""); }},
            {"coded 421",
             [=](const engine_call& call, const std::string&) { return raw_answer(call, "421", coded_denial, ""); }},
        };
        this->check_forms(forms);
    }

    // Guards against a check that sees only heads that arrive at once.
    void invalid_answer_is_found_in_a_head_that_comes_in_pieces()
    {
        std::string faults;
        for (const invalid_response& form : {invalid_statuses().front(), invalid_codings().front()}) {
            this->site->set_script([form](const engine_call& call) {
                scripted_answer answer{{}, answer_end::close};
                for (const char byte : form.make(call, engine_body))
                    answer.parts.emplace_back(1, byte);
                answer.pause = 1ms;
                return answer;
            });
            faults += this->find_fault("/once/1", 1) + this->find_fault("/plain/1", 2) +
                      this->find_fault("/stream/1", 1) + this->find_fault("/resume/1", 2);
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against a connection that goes on to be used after an invalid answer on it.
    void invalid_answer_on_a_reused_connection_is_no_answer()
    {
        this->site->store->remove(this->site->engine("p1").key());
        std::this_thread::sleep_for(300ms);
        standin_engine& engine = this->site->engine("p0");
        std::string faults;
        for (const invalid_response& form : invalid_heads()) {
            engine.set_script(nullptr);
            CPPUNIT_ASSERT_EQUAL(status_ok, this->call("/plain/1").status);
            engine.set_script([form](const engine_call& call) -> scripted_answer {
                return {{form.make(call, engine_body)}, answer_end::keep_open};
            });
            const std::size_t first = engine.calls().size();
            if (!this->is_known_to_fail(this->call("/plain/1")))
                faults += form.name + "; ";
            const auto calls = engine.calls();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(form.name, calls[first - 1].caller_port, calls[first].caller_port);
            for (std::size_t i = first + 1; i < calls.size(); ++i)
                CPPUNIT_ASSERT_MESSAGE(form.name, calls[i].caller_port != calls[first].caller_port);
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against a request that may be repeated and ends with the invalid answer of its first engine.
    void sound_engine_answers_what_another_one_broke()
    {
        std::string faults;
        for (const invalid_response& form : invalid_heads()) {
            const auto breaks = [form](const engine_call& call) {
                return closed_after(form.make(call, call.kind == "decode" ? stream_events(call, 1, 8) : engine_body));
            };
            this->site->engine("p0").set_script(breaks);
            this->site->engine("d0").set_script(breaks);
            for (int i = 0; i < 2; ++i) {
                const site_response plain = this->call("/plain/1");
                if (plain.status != status_ok || !plain.body.starts_with("whole answer of p1"))
                    faults += form.name + ", plain; ";
                const site_response stream = this->call("/resume/1");
                if (stream.status != status_ok || stream.body != whole_stream(this->last_id()))
                    faults += form.name + ", stream; ";
            }
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against framing or coded bytes between the events of two engines.
    void invalid_answer_to_a_resumed_stream_adds_nothing_to_it()
    {
        std::string faults;
        for (const auto& forms : {invalid_heads(), malformed_lines()}) {
            for (const invalid_response& form : forms) {
                this->site->set_script([form](const engine_call& call) -> scripted_answer {
                    if (is_resumed(call))
                        return closed_after(form.make(call, stream_events(call, 4, 8)));
                    return {{unframed_stream(call, 1, 3)}, answer_end::reset};
                });
                const site_response response = this->call("/resume/1");
                // Events that come whole before a break in the chunks are the engine's own.
                if (response.is_complete || !whole_stream(this->last_id()).starts_with(response.body))
                    faults += form.name + " '" + response.body + "'; ";
            }
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against failures whose reason operators can't find.
    void invalid_answer_is_logged_and_counted_with_its_reason()
    {
        struct reason
        {
            invalid_response form;
            std::string logged;
            std::string counted;
        };
        const std::vector<reason> reasons{
            {invalid_statuses().front(), "its status is 000", R"(reason="status")"},
            {invalid_codings().front(), "its transfer coding is 'xchunked'", R"(reason="transfer_coding")"},
            {malformed_lines().front(), "it is malformed, bad field", R"(reason="malformed")"},
        };
        for (const auto& [form, logged, counted] : reasons) {
            this->site->set_script(
                [form = form](const engine_call& call) { return closed_after(form.make(call, engine_body)); });
            this->call("/once/1");
            this->call("/stream/1");
            // The log is written by a thread of its own, so that its lines may follow the answer.
            for (const char* decision : {"decision=call_ended", "decision=stream_broken"}) {
                const auto is_logged = [&, cause = logged] {
                    const std::string log = this->site->log();
                    const std::size_t line = log.find(decision);
                    return line != std::string::npos && log.find(cause, line) != std::string::npos;
                };
                CPPUNIT_ASSERT_MESSAGE(decision + this->site->log(), wait_until(is_logged));
            }
            const std::string metrics = this->site->metrics();
            const std::string line = "radishstep_http_responses_invalid_total{" + counted + "} 2";
            CPPUNIT_ASSERT_MESSAGE(metrics, metrics.find(line) != std::string::npos);
        }
    }

    // Failure: a malformed answer counted as a lost connection, which may be the sign of a crash. The request was then
    // refused in place of going on at a sound engine.
    void malformed_answer_is_no_sign_of_a_crash()
    {
        const invalid_response form = malformed_lines().front();
        const auto breaks = [form](const engine_call& call) { return closed_after(form.make(call, engine_body)); };
        this->site->engine("p0").set_script(breaks);
        this->site->engine("d0").set_script(breaks);
        const auto have_both_broken = [this] {
            return this->site->engine("p0").runs() > 0 && this->site->engine("d0").runs() > 0;
        };
        constexpr int fewest_calls = 6;
        constexpr int most_calls = 60;
        // Either engine may be asked first.
        for (int i = 0; i < fewest_calls || (i < most_calls && !have_both_broken()); ++i) {
            CPPUNIT_ASSERT_EQUAL(status_ok, this->call("/plain/1").status);
            CPPUNIT_ASSERT_EQUAL(whole_stream(this->last_id()), this->call("/resume/1").body);
        }
        CPPUNIT_ASSERT(have_both_broken());
        const std::string log = this->site->log();
        CPPUNIT_ASSERT_MESSAGE(log, log.find("decision=request_lost") == std::string::npos);
    }

    // Guards against sound answers that are refused: any final status, codings in any case, folded values.
    void unusual_but_sound_heads_are_passed_on()
    {
        for (const char* status : {"200", "205", "226", "299", "302", "399", "400", "499", "500", "599"}) {
            this->site->set_script([status](const engine_call& call) -> scripted_answer {
                return {{raw_answer(call, status, "Content-Length: 5\r\n", "sound")}};
            });
            const site_response response = this->call("/once/1");
            CPPUNIT_ASSERT_EQUAL(std::string{status}, std::to_string(response.status));
            CPPUNIT_ASSERT_EQUAL(std::string{"sound"}, response.body);
        }
        const std::string chunks = chunk("sound") + "0\r\n\r\n";
        for (const char* coding : {"chunked", "Chunked", "  CHUNKED  ", ",chunked", "chunked ,", "\r\n chunked"}) {
            this->site->set_script([&](const engine_call& call) -> scripted_answer {
                return {{raw_answer(call, "200", "Transfer-Encoding:" + std::string{coding} + "\r\n", chunks)}};
            });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(coding, std::string{"sound"}, this->call("/once/1").body);
        }
        this->site->set_script([&](const engine_call& call) -> scripted_answer {
            return {{raw_answer(call, "200", "X-Folded: one\r\n  two\r\nContent-Length: 5\r\n", "sound")}};
        });
        const site_response folded = this->call("/once/1");
        CPPUNIT_ASSERT_EQUAL(std::string{"sound"}, folded.body);
        CPPUNIT_ASSERT_EQUAL(std::string{"one two"}, std::string{http::find_header(folded.lines, "X-Folded")});
    }

private:
    std::unique_ptr<platform_site> site;
    int sent = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_invalid_answers);

} // namespace
