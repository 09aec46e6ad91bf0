#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "caller_outcome.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

/// The gateway asks another engine after 1,200 ms without an event, and waits for both for 250 ms more.
constexpr milliseconds inside_handover{1'330};
constexpr milliseconds after_handover{1'700};

/// How an engine answers, by name.
struct behaviour
{
    std::string name;
    answer_script answer;
};

std::string events(const engine_call& call, int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number)
        text += stream_event(call.id, number);
    return text;
}

http::headers stream_headers(const engine_call& call)
{
    http::headers lines = engine_headers(call);
    lines.push_back({"Content-Type", "text/event-stream"});
    return lines;
}

/// Returns the start of a stream in chunks, with the events up to `last`.
std::string chunked_start(const engine_call& call, int last)
{
    http::headers lines = stream_headers(call);
    lines.push_back({"Transfer-Encoding", "chunked"});
    return unframed_answer(200, lines, chunk(events(call, 1, last)));
}

std::string unframed_start(const engine_call& call, int last)
{
    return unframed_answer(200, stream_headers(call), events(call, 1, last));
}

/// Sends the bytes one by one after `wait`.
scripted_answer in_pieces(const std::string& bytes)
{
    scripted_answer answer{{}, answer_end::close};
    for (const char byte : bytes)
        answer.parts.emplace_back(1, byte);
    answer.pause = 1ms;
    return answer;
}

/// Returns engines that are silent for longer than the gateway waits, and then send an answer with status 000.
std::vector<behaviour> silent_engines()
{
    std::vector<behaviour> engines;
    for (const milliseconds pause : {inside_handover, after_handover}) {
        for (const answer_end end : {answer_end::keep_open, answer_end::close, answer_end::reset}) {
            const std::string when =
                std::to_string(pause.count()) + " ms, end " + std::to_string(static_cast<int>(end));
            engines.push_back({"000 after " + when, [=](const engine_call& call) -> scripted_answer {
                                   return {{"", status_000(call)}, end, true, pause};
                               }});
            engines.push_back(
                {"a part of a head with 000, the rest after " + when, [=](const engine_call& call) -> scripted_answer {
                     const std::string bytes = status_000(call);
                     return {{bytes.substr(0, 11), bytes.substr(11)}, end, true, pause};
                 }});
            engines.push_back({"000 between chunks after " + when, [=](const engine_call& call) -> scripted_answer {
                                   return {{chunked_start(call, 3), status_000(call)}, end, true, pause};
                               }});
            engines.push_back(
                {"000 in a chunk after " + when, [=](const engine_call& call) -> scripted_answer {
                     return {{chunked_start(call, 3), chunk(status_000(call)) + "0\r\n\r\n"}, end, true, pause};
                 }});
            engines.push_back(
                {"000 behind events without framing after " + when, [=](const engine_call& call) -> scripted_answer {
                     return {{unframed_start(call, 3), status_000(call)}, end, true, pause};
                 }});
        }
    }
    return engines;
}

/// Returns engines that answer with status 000 when they are asked to go on with a stream.
std::vector<behaviour> broken_engines()
{
    return {
        {"000",
         [](const engine_call& call) -> scripted_answer {
             return {{status_000(call)}, answer_end::close};
         }},
        {"000 in pieces", [](const engine_call& call) { return in_pieces(status_000(call)); }},
        {"000 after 150 ms",
         [](const engine_call& call) -> scripted_answer {
             return {{"", status_000(call)}, answer_end::keep_open, true, 150ms};
         }},
        {"000 that denies a run",
         [](const engine_call& call) -> scripted_answer {
             std::string bytes = status_000(call);
             return {{bytes.insert(bytes.find('\n') + 1, "Not-Executed: 1\r\n")}, answer_end::close};
         }},
    };
}

/// Returns an engine that answers a stream from its start, or behind the third event if it is asked to.
behaviour sound_engine()
{
    return {
        "sound", [](const engine_call& call) -> scripted_answer {
            const bool goes_on = !http::find_header(call.request.lines, "Last-Event-Id").empty();
            return {{unframed_answer(200, stream_headers(call), events(call, goes_on ? 4 : 1, 8))}, answer_end::close};
        }};
}

/// How the engines answer one request.
struct answers_of_request
{
    answer_script first;
    answer_script second;
    int asked = 0;
};

/// Streams whose engines answer with status 000 where a stream waits, moves or goes on.
class test_status_of_streams : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_status_of_streams);
    CPPUNIT_TEST(status_000_of_a_silent_engine_or_of_the_one_asked_beside_it_is_no_answer);
    CPPUNIT_TEST(status_000_of_a_silent_engine_does_not_end_the_stream_of_the_other);
    CPPUNIT_TEST(status_000_in_prefill_or_decode_is_no_answer);
    CPPUNIT_TEST(status_000_to_a_stream_that_moved_is_no_continuation);
    CPPUNIT_TEST(status_000_to_a_caller_that_resumes_at_another_host_is_no_continuation);
    CPPUNIT_TEST_SUITE_END();

public:
    void start(int prefill_engines, int decode_engines, int hosts = 1)
    {
        this->site = std::make_unique<platform_site>(0, prefill_engines, decode_engines, hosts);
        this->site->set_retry_slack(10'000);
        for (std::size_t host = 0; host < static_cast<std::size_t>(hosts); ++host)
            this->site->start_gateway(host);
        for (std::size_t host = 0; host < static_cast<std::size_t>(hosts); ++host)
            CPPUNIT_ASSERT(this->site->wait_until_ready(5s, host));
        CPPUNIT_ASSERT(this->site->wait_until_registered());
    }

    void tearDown() override
    {
        this->site.reset();
        this->answers->clear();
    }

    raw_request next_request(const std::string& path)
    {
        raw_request request;
        request.path = path;
        request.id = "attempt-" + std::to_string(++this->sent);
        return request;
    }

    /// Lets the engine that gets a request first answer it in one way, and all others in another.
    void set_answers(const std::string& id, const behaviour& first, const behaviour& second)
    {
        (*this->answers)[id] = {first.answer, second.answer};
    }

    /// Lets all engines answer as set_answers() says.
    void use_answers()
    {
        this->site->set_script([known = this->answers](const engine_call& call) {
            answers_of_request& answers = (*known)[call.id];
            return answers.asked++ == 0 ? answers.first(call) : answers.second(call);
        });
    }

    /// Sends a request for each pair of a first and a second engine, some at a time.
    void check_pairs(const std::vector<behaviour>& seconds, bool must_be_whole)
    {
        struct sent_request
        {
            std::string name;
            raw_request request;
        };
        std::vector<sent_request> requests;
        for (const behaviour& first : silent_engines()) {
            for (const behaviour& second : seconds) {
                requests.push_back({first.name + "; then " + second.name, this->next_request("/resume/1")});
                this->set_answers(requests.back().request.id, first, second);
            }
        }
        this->use_answers();
        std::string faults;
        // The engines have room for six streams each.
        constexpr std::size_t at_a_time = 5;
        for (std::size_t start = 0; start < requests.size(); start += at_a_time) {
            std::vector<std::future<std::string>> running;
            const std::size_t end = std::min(start + at_a_time, requests.size());
            for (std::size_t i = start; i < end; ++i)
                running.push_back(std::async(
                    std::launch::async, [this, &requests, i] { return send_raw(*this->site, requests[i].request); }));
            for (std::size_t i = start; i < end; ++i) {
                const std::string received = running[i - start].get();
                std::string fault = find_invalid_outcome(*this->site, received, requests[i].request);
                if (must_be_whole && !is_sound_answer(received, requests[i].request))
                    fault += "not whole: '" + received + "'";
                if (runs_of(*this->site, requests[i].request.id) != 2)
                    fault += "the second engine was not asked";
                if (!fault.empty())
                    faults += "\n" + requests[i].name + ": " + fault;
            }
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against an answer with status 000 that is let through while two engines are waited for.
    void status_000_of_a_silent_engine_or_of_the_one_asked_beside_it_is_no_answer()
    {
        this->start(0, 2);
        this->check_pairs(broken_engines(), false);
    }

    // Guards against a stream that is cut, or gets bytes of the first engine, although the second one is sound.
    void status_000_of_a_silent_engine_does_not_end_the_stream_of_the_other()
    {
        this->start(0, 2);
        this->check_pairs({sound_engine()}, true);
    }

    // Guards against a status 000 behind a sound prefill, and a handle out of an answer with status 000.
    void status_000_in_prefill_or_decode_is_no_answer()
    {
        this->start(1, 2);
        const std::string handle = nlohmann::json{{"handle", "h1"}, {"tokens", 300}, {"version", 1}}.dump();
        const auto sound_prefill = [handle](const engine_call& call) -> scripted_answer {
            return {{http_answer(200, engine_headers(call), handle)}};
        };
        const auto broken_prefill = [handle](const engine_call& call) -> scripted_answer {
            std::string bytes = http_answer(200, engine_headers(call), handle);
            return {{bytes.replace(bytes.find("200"), 3, "000")}};
        };
        const auto broken = [](const engine_call& call) -> scripted_answer { return {{status_000(call)}}; };
        struct phase_case
        {
            std::string name;
            answer_script prefill;
            answer_script first_decode;
            answer_script second_decode;
        };
        const std::vector<phase_case> cases{
            {"prefill", broken_prefill, nullptr, nullptr},
            {"one decode", sound_prefill, broken, nullptr},
            {"both decodes", sound_prefill, broken, broken},
            {"all", broken_prefill, broken, broken},
        };
        std::string faults;
        for (const phase_case& one : cases) {
            this->site->engine("r0").set_script(one.prefill);
            this->site->engine("d0").set_script(one.first_decode);
            this->site->engine("d1").set_script(one.second_decode);
            for (const char* path : {"/resume/1", "/stream/1", "/resume/2", "/stream/2"}) {
                const raw_request request = this->next_request(path);
                const std::string fault = find_invalid_outcome(*this->site, send_raw(*this->site, request), request);
                if (!fault.empty())
                    faults += "\n" + one.name + ", " + path + ": " + fault;
                const int most_runs = std::string{path}.starts_with("/stream/") ? 1 : 2;
                CPPUNIT_ASSERT_MESSAGE(one.name + path, runs_of(*this->site, request.id) <= most_runs);
            }
        }
        for (const char* id : {"d0", "d1"}) {
            for (const engine_call& call : this->site->engine(id).calls()) {
                const std::string source{http::find_header(call.request.lines, "Kv-Source")};
                const bool is_of_broken_prefill = std::stoi(call.id.substr(sizeof("attempt-") - 1)) <= 4;
                CPPUNIT_ASSERT_MESSAGE(call.id, source.empty() || !is_of_broken_prefill);
            }
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against a stream whose first engine broke it off, and whose second one answers with status 000.
    void status_000_to_a_stream_that_moved_is_no_continuation()
    {
        this->start(0, 2);
        std::string faults;
        this->use_answers();
        const auto check = [this, &faults](int events_before, const behaviour& second, bool must_be_whole) {
            const raw_request request = this->next_request("/resume/1");
            const behaviour first{"cut", [events_before](const engine_call& call) -> scripted_answer {
                                      return {{unframed_start(call, events_before)}, answer_end::reset};
                                  }};
            this->set_answers(request.id, first, second);
            const std::string received = send_raw(*this->site, request);
            std::string fault = find_invalid_outcome(*this->site, received, request);
            if (is_sound_answer(received, request) != must_be_whole)
                fault += "whole or not: '" + received + "'";
            if (!fault.empty())
                faults += "\n" + std::to_string(events_before) + " events, then " + second.name + ": " + fault;
        };
        for (const behaviour& second : broken_engines()) {
            for (const int events_before : {1, 3, 7})
                check(events_before, second, false);
        }
        check(3, sound_engine(), true);
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

    // Guards against a status 000 that a caller gets when it goes on at another host.
    void status_000_to_a_caller_that_resumes_at_another_host_is_no_continuation()
    {
        this->start(0, 2, 2);
        std::string faults;
        for (const std::size_t host : {0UL, 1UL, 0UL, 1UL}) {
            raw_request request = this->next_request("/resume/1");
            this->site->set_script([](const engine_call& call) -> scripted_answer {
                return {{unframed_start(call, 3)}, answer_end::reset};
            });
            faults += find_invalid_outcome(*this->site, send_raw(*this->site, request, host), request);
            this->site->set_script([](const engine_call& call) -> scripted_answer { return {{status_000(call)}}; });
            request.last_event_id = "3";
            faults += find_invalid_outcome(*this->site, send_raw(*this->site, request, 1 - host), request);
            this->site->set_script(nullptr);
            const std::string last = send_raw(*this->site, request, host);
            if (!is_sound_answer(last, request))
                faults += "not whole: '" + last + "'; ";
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
    }

private:
    /// Shared with the engines, which use it on the site's thread while a request runs.
    std::shared_ptr<std::map<std::string, answers_of_request>> answers =
        std::make_shared<std::map<std::string, answers_of_request>>();
    std::unique_ptr<platform_site> site;
    int sent = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_status_of_streams);

} // namespace
