#include <cppunit/extensions/HelperMacros.h>

#include "platform/host_settings.h"
#include "platform/platform_dialect.h"
#include "platform/store_client.h"
#include "platform/store_documents.h"

namespace {

using namespace radishstep;
using namespace std::chrono_literals;

constexpr const char* config_text = R"({"version":7,
  "routes":[
    {"name":"r1","host":"h.example","prefix":"/a/","type":"streaming","timeout_ms":14000,"target_latency_ms":900,
     "priority":1,"service":"llm","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":300},
    {"name":"r2","host":"h.example","prefix":"/b/","type":"unsafe","timeout_ms":2000,"target_latency_ms":300,
     "priority":2,"backends":[{"service":"old","weight":90},{"service":"new","weight":10},{"service":"off","weight":0}],
     "max_attempts":1}],
  "services":[{"name":"llm","engine":{"slots":128,"kv_capacity":38411,"stride":13,"handle_ttl_s":0.5}},{"name":"old"}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

/// Decoding of the platform's documents and headers into the gateway's types.
class test_decoders : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_decoders);
    CPPUNIT_TEST(configuration_is_decoded);
    CPPUNIT_TEST(unusable_configuration_error_names_the_field);
    CPPUNIT_TEST(endpoint_entries_are_decoded);
    CPPUNIT_TEST(malformed_endpoint_entries_are_rejected);
    CPPUNIT_TEST(settings_error_names_the_missing_field);
    CPPUNIT_TEST(watch_changes_are_decoded);
    CPPUNIT_TEST(malformed_store_responses_are_errors);
    CPPUNIT_TEST(request_headers_are_decoded);
    CPPUNIT_TEST(endpoint_responses_are_classified);
    CPPUNIT_TEST(notices_are_decoded_from_answers_to_the_request);
    CPPUNIT_TEST(unusable_notices_are_bounded);
    CPPUNIT_TEST(error_responses_carry_retry_after);
    CPPUNIT_TEST(hop_by_hop_headers_are_not_forwarded);
    CPPUNIT_TEST_SUITE_END();

public:
    void configuration_is_decoded()
    {
        const auto config = platform::decode_config(config_text);
        CPPUNIT_ASSERT(config.has_value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, config->version);
        const forward::route& stream = config->routes[0];
        CPPUNIT_ASSERT(stream.is_model && stream.is_stream && stream.is_repeatable);
        CPPUNIT_ASSERT(stream.timeout == 14s && stream.latency_objective == 900ms && stream.gap_objective == 300ms);
        const forward::route& once = config->routes[1];
        CPPUNIT_ASSERT(!once.is_model && !once.is_repeatable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, once.services.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{38'411}, config->find_service("llm")->kv_capacity_tokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{13}, config->find_service("llm")->tokens_per_event);
        CPPUNIT_ASSERT_EQUAL(std::size_t{16'384}, config->limits.header_bytes);
    }

    void unusable_configuration_error_names_the_field()
    {
        const auto config = platform::decode_config(R"({"version":7,"routes":[{"name":"r1"}],"services":[]})");
        CPPUNIT_ASSERT(!config);
        CPPUNIT_ASSERT(config.error().message.find("host") != std::string::npos);
        CPPUNIT_ASSERT(!platform::decode_config("[1,"));
    }

    void endpoint_entries_are_decoded()
    {
        const auto entry = platform::decode_endpoint(
            "servers/i-1",
            R"({"service":"llm","address":"10.0.0.1:80","zone":"a","slots":128,"state":"draining","phase":"decode","born":17})");
        CPPUNIT_ASSERT(entry.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"i-1@17"}, entry->incarnation());
        CPPUNIT_ASSERT(entry->is_draining && entry->phase == forward::endpoint_phase::decode);
    }

    void malformed_endpoint_entries_are_rejected()
    {
        for (const char* text :
             {"", "no json", R"([1])", R"({"service":"llm"})",
              R"({"service":"llm","address":7,"zone":"a","slots":1,"state":"ready"})",
              R"({"service":"llm","address":"1.2.3.4:5","zone":"a","slots":1,"state":"resting"})",
              R"({"service":"llm","address":"1.2.3.4:5","zone":"a","slots":"six","state":"ready"})",
              R"({"service":"l","address":"1.2.3.4:5","zone":"a","slots":1,"state":"ready","born":"x"})"})
            CPPUNIT_ASSERT_MESSAGE(text, !platform::decode_endpoint("servers/i-1", text));
    }

    void settings_error_names_the_missing_field()
    {
        const auto settings = platform::decode_host_settings(R"({"node_name":"n"})");
        CPPUNIT_ASSERT(!settings && settings.error().kind == error_kind::bad_setting);
        CPPUNIT_ASSERT(settings.error().message.find("bounds") != std::string::npos);
    }

    void watch_changes_are_decoded()
    {
        const auto decoded = platform::decode_watch(
            R"({"events":[{"key":"a","value":"Yg==","revision":412},{"key":"c","revision":413,"deleted":true}],"current_rev":413})");
        CPPUNIT_ASSERT(decoded.has_value());
        CPPUNIT_ASSERT(*decoded->changes[0].value == "b");
        CPPUNIT_ASSERT(!decoded->changes[1].value);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{413}, decoded->revision);
    }

    void malformed_store_responses_are_errors()
    {
        for (const char* text : {"", "{}", R"({"events":7,"current_rev":1})",
                                 R"({"events":[{"key":"a","value":"%%","revision":1}],"current_rev":1})"})
            CPPUNIT_ASSERT_MESSAGE(text, !platform::decode_watch(text));
        CPPUNIT_ASSERT(!platform::decode_range_page(R"({"items":[]})"));
    }

    void request_headers_are_decoded()
    {
        const platform::platform_dialect dialect;
        http::request request;
        request.lines = {{"Attempt-Id", "a1"},      {"Host", "h.example"}, {"Deadline-Ms", "1400"},
                         {"Token-Count", "900,80"}, {"Length-Hint", "40"}, {"Last-Event-Id", "6"}};
        const auto parsed = dialect.parse_request(request);
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT(*parsed->patience == 1'400ms);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{900}, parsed->prompt_tokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{80}, parsed->max_output_tokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{40}, parsed->expected_output_tokens);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, *parsed->last_event_id);
        request.lines.erase(request.lines.begin());
        CPPUNIT_ASSERT(dialect.parse_request(request).error().kind == error_kind::bad_request);
    }

    void endpoint_responses_are_classified()
    {
        using forward::answer_kind;
        const platform::platform_dialect dialect;
        forward::caller_request request;
        request.id = "a1";
        const auto classify = [&](unsigned status, const http::headers& lines) {
            return dialect.classify_answer(request, {status, lines, ""});
        };
        CPPUNIT_ASSERT(classify(200, {{"Attempt-Id", "a1"}, {"Server-Signature", "s"}}) == answer_kind::executed);
        CPPUNIT_ASSERT(classify(500, {{"Attempt-Id", "a1"}, {"Server-Signature", "s"}}) == answer_kind::executed);
        CPPUNIT_ASSERT(classify(200, {{"Attempt-Id", "a2"}, {"Server-Signature", "s"}}) == answer_kind::wrong_request);
        CPPUNIT_ASSERT(classify(200, {{"Attempt-Id", "a1"}}) == answer_kind::unverified);
        CPPUNIT_ASSERT(classify(200, {{"Server-Signature", "s"}}) == answer_kind::unverified);
        CPPUNIT_ASSERT(classify(503, {{"Attempt-Id", "a1"}, {"Not-Executed", "1"}}) == answer_kind::not_executed);
        CPPUNIT_ASSERT(classify(421, {{"Instance-Id", "other"}}) == answer_kind::wrong_endpoint);
        CPPUNIT_ASSERT(classify(200, {{"Attempt-Id", "a1"}, {"Server-Signature", "s"}, {"Content-Encoding", "gzip"}}) ==
                       answer_kind::unverified);
    }

    // Guards against notices of other endpoints, which answer 421, and of late answers to other requests.
    void notices_are_decoded_from_answers_to_the_request()
    {
        const platform::platform_dialect dialect;
        const http::headers lines{{"Attempt-Id", "a1"}, {"Server-Leaving", "1"}, {"Retry-After", "1.5"}};
        const auto refused = dialect.parse_notice("a1", {503, lines, ""});
        CPPUNIT_ASSERT((refused == forward::endpoint_notice{true, 1'500ms, ""}));
        CPPUNIT_ASSERT((dialect.parse_notice("a1", {200, lines, ""}) == forward::endpoint_notice{true, {}, ""}));
        CPPUNIT_ASSERT(dialect.parse_notice("a2", {503, lines, ""}) == forward::endpoint_notice{});
        CPPUNIT_ASSERT(dialect.parse_notice("", {503, lines, ""}) == forward::endpoint_notice{});
        CPPUNIT_ASSERT(dialect.parse_notice("a1", {421, lines, ""}) == forward::endpoint_notice{});
        const auto order_answer = dialect.parse_notice("", {503, {{"Retry-After", "2"}}, ""});
        CPPUNIT_ASSERT(order_answer.pause == 2s);
    }

    // Guards against an endpoint that stays away without end or stops a host by an odd value.
    void unusable_notices_are_bounded()
    {
        const platform::platform_dialect dialect;
        const auto read = [&](const char* name, const std::string& value) {
            return dialect.parse_notice("a1", {503, {{"Attempt-Id", "a1"}, {name, value}}, ""});
        };
        for (const char* value : {"-1", "-1e999", "soon", "nan", "inf", "1s", "Fri, 31 Dec 1999 23:59:59 GMT", "0x1"}) {
            const auto notice = read("Retry-After", value);
            CPPUNIT_ASSERT_MESSAGE(value, !notice.pause);
            CPPUNIT_ASSERT_EQUAL(std::string{value}, notice.unusable_value);
        }
        for (const std::string value : {"300.1", "1e999", "99999999999999999999"}) {
            const auto notice = read("Retry-After", value);
            CPPUNIT_ASSERT_MESSAGE(value, notice.pause == forward::endpoint_notice::max_pause);
            CPPUNIT_ASSERT_EQUAL(value, notice.unusable_value);
        }
        CPPUNIT_ASSERT(read("Retry-After", "1e-999").pause == 0ms);
        CPPUNIT_ASSERT(read("Retry-After", "0.0001").pause == 1ms);
        for (const char* value : {"yes", "-1", "2", "99999999999999999999"})
            CPPUNIT_ASSERT_MESSAGE(value, !read("Server-Leaving", value).is_leaving);
        CPPUNIT_ASSERT(read("Server-Leaving", "0") == forward::endpoint_notice{});
    }

    void error_responses_carry_retry_after()
    {
        const platform::platform_dialect dialect;
        const error reason{error_kind::overloaded, "full", "later"};
        const http::response response = dialect.make_refusal("a1", reason, 250ms);
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT(http::find_header(response.lines, "Retry-After") == "0.250");
        CPPUNIT_ASSERT(http::find_header(response.lines, "Server-Signature").empty());
        CPPUNIT_ASSERT(
            http::find_header(dialect.make_refusal("a1", reason, std::nullopt).lines, "Retry-After").empty());
    }

    void hop_by_hop_headers_are_not_forwarded()
    {
        const platform::platform_dialect dialect;
        forward::caller_request request;
        request.original.lines = {{"Connection", "close, X-Hop"}, {"X-Hop", "1"}, {"X-End", "2"}, {"Keep-Alive", "5"}};
        const http::request call = dialect.make_plain_call(request, {}, 100ms);
        CPPUNIT_ASSERT(http::find_header(call.lines, "X-Hop").empty());
        CPPUNIT_ASSERT(http::find_header(call.lines, "Connection").empty());
        CPPUNIT_ASSERT(http::find_header(call.lines, "X-End") == "2");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_decoders);

} // namespace
