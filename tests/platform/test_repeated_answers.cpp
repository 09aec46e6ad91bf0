#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include "base/pause.h"
#include "platform/store_client.h"
#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_gateway = 502;

/// Returns a refusal with the id of a request, or without an id if it is "".
std::string refusal(unsigned status, const std::string& request_id)
{
    http::headers lines{{"Not-Executed", "1"}};
    if (!request_id.empty())
        lines.push_back({"Attempt-Id", request_id});
    return http_answer(status, lines, "");
}

std::string answer(const engine_call& call)
{
    if (call.kind == "prefill")
        return http_answer(status_ok, {{"Attempt-Id", call.id}}, R"({"handle":"h1","tokens":300,"version":1})");
    if (call.kind != "decode")
        return http_answer(status_ok, engine_headers(call), "answer to " + call.id);
    http::headers lines = engine_headers(call);
    lines.push_back({"Content-Type", "text/event-stream"});
    return http_answer(status_ok, lines, whole_stream(call.id));
}

/// Engines that write an earlier refusal once more on a connection, in front of the answer to another request.
class test_repeated_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_repeated_answers);
    CPPUNIT_TEST(refusal_of_another_request_does_not_count_as_the_answer);
    CPPUNIT_TEST(refusal_of_another_request_does_not_end_a_stream_as_not_run);
    CPPUNIT_TEST(refusal_repeated_on_kept_connections_fails_no_request);
    CPPUNIT_TEST(retry_after_a_repeated_refusal_meets_no_other);
    CPPUNIT_TEST(refusal_repeated_by_a_prefill_engine_does_no_harm);
    CPPUNIT_TEST(prefill_calls_of_a_request_do_not_share_a_connection);
    CPPUNIT_TEST(late_answer_of_the_store_does_not_count_as_the_next);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->site = std::make_unique<platform_site>(2, 1, 2);
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

    int runs(const std::string& request_id)
    {
        int sum = 0;
        for (const auto& [id, engine] : this->site->engines) {
            for (const engine_call& call : engine->calls())
                sum += call.id == request_id && call.kind != "prefill" && call.has_run ? 1 : 0;
        }
        return sum;
    }

    site_response call(const std::string& path, const std::string& id)
    {
        site_request request;
        request.path = path;
        request.id = id;
        if (path.starts_with("/stream/") || path.starts_with("/resume/"))
            request.extra_headers = {{"Model", "m"}, {"Token-Count", "3000,100"}, {"Prefix-Hash", "a:200,b:2800"}};
        return this->site->call(request);
    }

    /// Calls `check` for refusals with the id of another request and without an id.
    template <typename Check>
    static void for_each_refusal(Check check)
    {
        for (const unsigned status : {400U, 421U, 429U, 503U}) {
            for (const char* id : {"an-earlier-call", ""})
                check(refusal(status, id), std::to_string(status) + id);
        }
    }

    static answer_script refusal_first(const std::string& refused)
    {
        return [refused](const engine_call& call) -> scripted_answer { return {{refused + answer(call)}}; };
    }

    // Guards against "not run" for a request that an engine ran, and against its second run at another engine.
    void refusal_of_another_request_does_not_count_as_the_answer()
    {
        for_each_refusal([this](const std::string& refused, const std::string& name) {
            this->set_script("p", refusal_first(refused));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, status_bad_gateway, this->call("/once/1", "once" + name).status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, this->runs("once" + name));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, status_bad_gateway, this->call("/plain/1", "plain" + name).status);
            CPPUNIT_ASSERT_MESSAGE(name, this->runs("plain" + name) <= 2);
        });
    }

    // Guards against "not run" for a stream that an engine has begun, and against its second run.
    void refusal_of_another_request_does_not_end_a_stream_as_not_run()
    {
        for_each_refusal([this](const std::string& refused, const std::string& name) {
            this->set_script("d", refusal_first(refused));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, status_bad_gateway, this->call("/stream/1", "stream" + name).status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, this->runs("stream" + name));
        });
    }

    // Guards against a refusal that arrives, whole or in parts, while its connection is idle or has its next request.
    void refusal_repeated_on_kept_connections_fails_no_request()
    {
        for (const bool has_id : {true, false}) {
            this->set_script("p", [has_id](const engine_call& call) -> scripted_answer {
                scripted_answer with_refusal{{answer(call)}, answer_end::keep_open, true, 1ms};
                for (const char byte : refusal(503, has_id ? call.id : ""))
                    with_refusal.parts.emplace_back(1, byte);
                return with_refusal;
            });
            constexpr int calls = 40;
            for (int i = 0; i < calls; ++i) {
                const std::string id = "attempt-" + std::to_string(i) + (has_id ? "-id" : "");
                const std::string path = i % 4 == 3 ? "/once/1" : "/plain/1";
                const site_response response = this->call(path, id);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(id, status_ok, response.status);
                CPPUNIT_ASSERT_EQUAL("answer to " + id, response.body);
                CPPUNIT_ASSERT(path != "/once/1" || this->runs(id) == 1);
                std::this_thread::sleep_for(milliseconds{i % 8});
            }
        }
    }

    // Guards against a retry on a kept connection on which an earlier answer is repeated as well.
    void retry_after_a_repeated_refusal_meets_no_other()
    {
        const auto used_ports = std::make_shared<std::set<unsigned>>();
        this->set_script("p", [used_ports](const engine_call& call) -> scripted_answer {
            const bool is_new_connection = used_ports->insert(call.caller_port).second;
            return {{(is_new_connection ? "" : refusal(503, "an-earlier-call")) + answer(call)}};
        });
        constexpr int calls = 12;
        for (int i = 0; i < calls; ++i) {
            const std::string id = "attempt-" + std::to_string(i);
            CPPUNIT_ASSERT_EQUAL("answer to " + id, this->call("/plain/1", id).body);
        }
    }

    // Guards against prompts that are refused since another one was.
    void refusal_repeated_by_a_prefill_engine_does_no_harm()
    {
        for_each_refusal([this](const std::string& refused, const std::string& name) {
            this->set_script("r", refusal_first(refused));
            const site_response response = this->call("/stream/1", "stream" + name);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, whole_stream("stream" + name), response.body);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 1, this->runs("stream" + name));
        });
    }

    // Guards against an answer to the first prefill call of a request that is repeated in front of the answer to its
    // second one: both have the request's id.
    void prefill_calls_of_a_request_do_not_share_a_connection()
    {
        this->set_script("d", [](const engine_call& call) -> scripted_answer {
            if (!http::find_header(call.request.lines, "Last-Event-Id").empty())
                return {{http_answer(500, engine_headers(call), "")}};
            http::headers lines = engine_headers(call);
            lines.push_back({"Content-Type", "text/event-stream"});
            return {{unframed_answer(status_ok, lines, stream_event(call.id, 1))}, answer_end::reset};
        });
        this->call("/resume/1", "attempt-1");
        const std::vector<engine_call> calls = this->site->engine("r0").calls();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, calls.size());
        CPPUNIT_ASSERT(calls[0].caller_port != calls[1].caller_port);
    }

    // Guards against an answer of the store that comes after its call has timed out, and that no id tells from the
    // next.
    void late_answer_of_the_store_does_not_count_as_the_next()
    {
        asio::io_context io;
        int calls = 0;
        const auto answer_call = [&calls](const http::request&, raw_connection& caller) -> asio::awaitable<bool> {
            constexpr milliseconds longer_than_the_timeout{1'600};
            const int call = ++calls;
            if (call == 1)
                co_await pause_for(longer_than_the_timeout);
            co_return co_await caller.write(http_answer(status_ok, {}, "{\"lease\":" + std::to_string(call) + "}"));
        };
        const raw_server server{io.get_executor(), "127.0.0.1:0", answer_call};
        platform::store_client store{io.get_executor(), server.address()};
        const auto grant_lease = [&] {
            auto lease = asio::co_spawn(io, store.grant_lease(1s), asio::use_future);
            while (lease.wait_for(0s) != std::future_status::ready)
                io.run_one();
            return lease.get();
        };
        CPPUNIT_ASSERT(!grant_lease());
        for (std::int64_t call = 2; call < 5; ++call) {
            std::this_thread::sleep_for(60ms);
            CPPUNIT_ASSERT(grant_lease() == call);
        }
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_repeated_answers);

} // namespace
