#include <cppunit/extensions/HelperMacros.h>

#include "entry/completion_api.h"
#include "entry/entry_settings.h"
#include "http/event_stream.h"
#include "http/message.h"
#include "keyvalue/claim_store.h"

namespace {

using namespace radishstep;

class test_completion_api : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_completion_api);
    CPPUNIT_TEST(valid_requests_are_parsed);
    CPPUNIT_TEST(invalid_requests_get_an_error_kind_and_remedy);
    CPPUNIT_TEST(refusal_states_whether_the_request_ran);
    CPPUNIT_TEST(answer_events_escape_the_text);
    CPPUNIT_TEST(event_stream_is_parsed_when_split_at_any_byte);
    CPPUNIT_TEST(event_over_the_size_limit_fails_the_stream);
    CPPUNIT_TEST(query_parameters_are_parsed);
    CPPUNIT_TEST(claims_round_trip_and_malformed_claims_are_tolerated);
    CPPUNIT_TEST(claim_whose_answer_cannot_be_replayed_stays_taken);
    CPPUNIT_TEST(invalid_entry_settings_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    void valid_requests_are_parsed()
    {
        const auto plain = parse_completion(R"({"model":"m","prompt":"p","stream":true,"max_tokens":5})", false);
        CPPUNIT_ASSERT(plain && plain->is_stream && plain->max_tokens == 5);
        const auto chat = parse_completion(R"({"model":"m","messages":[{"role":"user","content":"hi"}]})", true);
        CPPUNIT_ASSERT(chat && chat->prompt == "user: hi\n");
    }

    void invalid_requests_get_an_error_kind_and_remedy()
    {
        for (const char* const body :
             {"", "{", "[]", "{}", R"({"model":1,"prompt":"p"})", R"({"model":"m"})", R"({"model":"m","prompt":""})",
              R"({"model":"m","prompt":"p","max_tokens":0})", R"({"model":"m","prompt":"p","max_tokens":"x"})",
              R"({"model":"m","prompt":"p","stream":"yes"})", R"({"model":"m","prompt":"p","priority":"now"})"}) {
            const auto parsed = parse_completion(body, false);
            CPPUNIT_ASSERT_MESSAGE(body, !parsed);
            CPPUNIT_ASSERT_MESSAGE(body, parsed.error().kind == error_kind::bad_request);
            CPPUNIT_ASSERT_MESSAGE(body, !parsed.error().remedy.empty());
        }
        CPPUNIT_ASSERT(parse_completion("{\"model\":\"\xff\"}", false).error().kind == error_kind::bad_text);
        CPPUNIT_ASSERT(!parse_completion(R"({"model":"m","messages":[{"role":"user"}]})", true));
    }

    void refusal_states_whether_the_request_ran()
    {
        const error reason{error_kind::overloaded, "full", "wait"};
        const http::response answer = refusal_response(reason, false, "r", 2);
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT(answer.body.find(R"("ran":"not_run")") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, std::string{http::find_header(answer.lines, "retry-after")});
    }

    void answer_events_escape_the_text()
    {
        const answer_event_formatter formatter{{"id", "m", 1, false}};
        CPPUNIT_ASSERT_EQUAL(std::string{R"(data: {"choices":[{"finish_reason":null,"index":0,"text":"a\"\n"}],)"
                                         R"("created":1,"id":"id","model":"m","object":"text_completion"})"
                                         "\n\n"},
                             formatter.format("a\"\n"));
    }

    void event_stream_is_parsed_when_split_at_any_byte()
    {
        const std::string text = "id: 0\ndata: \"a\"\n\nevent: end\ndata: {}\n\n";
        for (std::size_t cut = 0; cut <= text.size(); ++cut) {
            http::event_stream_reader reader;
            auto events = reader.push(std::string_view{text}.substr(0, cut));
            const auto more = reader.push(std::string_view{text}.substr(cut));
            events.insert(events.end(), more.begin(), more.end());
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"\"a\""}, events.at(0).data);
            CPPUNIT_ASSERT_EQUAL(std::string{"end"}, events.at(1).event);
        }
    }

    void event_over_the_size_limit_fails_the_stream()
    {
        http::event_stream_reader reader;
        reader.push(std::string(http::event_stream_reader::max_event_bytes + 1, 'x'));
        CPPUNIT_ASSERT(reader.has_failed());
    }

    void query_parameters_are_parsed()
    {
        const http::request request = http::get_request("/a/b?x=1&y=&z");
        CPPUNIT_ASSERT_EQUAL(std::string{"/a/b"}, std::string{request.path()});
        CPPUNIT_ASSERT_EQUAL(std::string{"1"}, std::string{request.query("x")});
        CPPUNIT_ASSERT(request.query("y").empty() && request.query("z").empty() && request.query("none").empty());
    }

    void claims_round_trip_and_malformed_claims_are_tolerated()
    {
        const claim_record record{"o", "f", claim_status::answered, 200, "text/plain", std::string{"a\0b", 3}};
        CPPUNIT_ASSERT(parse_claim(to_json(record)) == record);
        CPPUNIT_ASSERT(parse_claim("nonsense") == claim_record{});
        CPPUNIT_ASSERT(parse_claim(R"({"body":"?"})").body.empty());
    }

    // Guards against recorded answers that no endpoint may send, and against calls that run again behind them.
    void claim_whose_answer_cannot_be_replayed_stays_taken()
    {
        constexpr unsigned statuses = 1'000;
        claim_record unknown;
        unknown.owner = "o";
        unknown.fingerprint = "f";
        for (unsigned status = 0; status < statuses; ++status) {
            const claim_record record{"o", "f", claim_status::answered, status, "text/plain", "body"};
            const bool is_final = status >= 200 && status < 600;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status),
                                   parse_claim(to_json(record)) == (is_final ? record : unknown));
        }
        for (const char* rest :
             {R"("http_status":-1,"body":"")", R"("http_status":200.0,"body":"")", R"("http_status":"200","body":"")",
              R"("http_status":18446744073709551615,"body":"")", R"("http_status":4294967496,"body":"")",
              R"("body":"")", R"("http_status":200,"body":"?")"}) {
            const std::string text = R"({"owner":"o","fingerprint":"f","status":"answered",)" + std::string{rest} + "}";
            CPPUNIT_ASSERT_MESSAGE(text, parse_claim(text) == unknown);
        }
    }

    void invalid_entry_settings_are_rejected()
    {
        const char* const missing[] = {"radishstep-entry", "--host=h"};
        CPPUNIT_ASSERT(read_entry_settings(2, missing).error().message == "--zone is not set");
        const char* const bad[] = {"radishstep-entry", "--host=h", "--zone=z",
                                   "--region=r",       "--site=s", "--listen=nowhere"};
        CPPUNIT_ASSERT(read_entry_settings(6, bad).error().kind == error_kind::bad_setting);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_completion_api);

} // namespace
