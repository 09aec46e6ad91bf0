#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_future.hpp>

#include "http/server.h"
#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;
namespace asio = boost::asio;

constexpr unsigned status_ok = 200;
constexpr unsigned min_failure_status = 500;
constexpr std::size_t part_bytes = 16UL * 1024;

/// One way in which an answer has no end.
struct endless_form
{
    std::string name;
    /// Returns what comes first, and then what comes again and again.
    std::function<std::vector<std::string>(const engine_call&)> make_parts;
};

std::string head_lines(const engine_call& call, const std::string& framing)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (const http::header& line : engine_headers(call))
        text += line.name + ": " + line.value + "\r\n";
    return text + framing;
}

std::string filler()
{
    std::string bytes(part_bytes, 'x');
    return bytes;
}

std::string repeated(const std::string& unit)
{
    std::string bytes;
    while (bytes.size() < part_bytes)
        bytes += unit;
    return bytes;
}

/// Heads and bodies that are no answer, for any call.
std::vector<endless_form> all_forms()
{
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    using parts = std::vector<std::string>;
    return {
        {"no HTTP",
         [](const engine_call&) -> parts {
             return {"", filler()};
         }},
        {"header lines",
         [](const engine_call& call) -> parts {
             return {head_lines(call, ""), repeated("X-F: y\r\n")};
         }},
        {"one header line",
         [](const engine_call& call) -> parts {
             return {head_lines(call, "X-F: "), filler()};
         }},
        {"interim answers",
         [](const engine_call&) -> parts {
             return {"", repeated("HTTP/1.1 100 Continue\r\n\r\n")};
         }},
        {"chunks",
         [=](const engine_call& call) -> parts {
             return {head_lines(call, chunked), chunk(filler())};
         }},
        {"tiny chunks",
         [=](const engine_call& call) -> parts {
             return {head_lines(call, chunked), repeated("1\r\nx\r\n")};
         }},
        {"chunk extension",
         [=](const engine_call& call) -> parts {
             return {head_lines(call, chunked) + "1;x=", filler()};
         }},
        {"trailers",
         [=](const engine_call& call) -> parts {
             return {head_lines(call, chunked) + "0\r\n", repeated("X-F: y\r\n")};
         }},
        {"body of a huge length",
         [](const engine_call& call) -> parts {
             return {head_lines(call, "Content-Length: 1000000000000\r\n\r\n"), filler()};
         }},
        {"body without length",
         [](const engine_call& call) -> parts {
             return {head_lines(call, "\r\n"), filler()};
         }},
    };
}

/// Streams whose events never come, for decode calls.
std::vector<endless_form> stream_forms()
{
    const std::string framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
    using parts = std::vector<std::string>;
    return {
        {"event line",
         [=](const engine_call& call) -> parts {
             return {head_lines(call, framing), chunk(filler())};
         }},
        {"event lines",
         [=](const engine_call& call) -> parts {
             return {head_lines(call, framing), chunk(repeated("data: x\n"))};
         }},
        {"comments",
         [=](const engine_call& call) -> parts {
             return {head_lines(call, framing), chunk(repeated(":\n\n"))};
         }},
    };
}

/// Engines, the store and peers that send bytes without end to the smallest host of the platform. Each test checks that
/// the process lives within the host's memory, and that ordinary calls are answered meanwhile.
class test_endless_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_endless_answers);
    CPPUNIT_TEST(plain_calls_on_a_host_full_of_connections);
    CPPUNIT_TEST(prefill_answers);
    CPPUNIT_TEST(stream_answers_of_many_engines);
    CPPUNIT_TEST(answers_to_resumed_streams);
    CPPUNIT_TEST(answers_to_streams_that_their_callers_resume);
    CPPUNIT_TEST(answers_to_releases);
    CPPUNIT_TEST(answers_to_orders);
    CPPUNIT_TEST(dripping_heads_on_a_host_full_of_connections);
    CPPUNIT_TEST(answers_of_the_store);
    CPPUNIT_TEST(answers_of_the_store_to_a_host_that_starts);
    CPPUNIT_TEST(datagrams_that_are_no_reports);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr int memory_mb = 88;
    static constexpr int descriptors = 4'100;
    /// Faulty endpoints or engines.
    static constexpr int endpoint_count = 24;
    static constexpr int crowd = 1'500;
    static constexpr int attack_ms = 1'200;

    void start(int plain_endpoints, int prefill_engines, int decode_engines)
    {
        this->site = std::make_unique<platform_site>(plain_endpoints, prefill_engines, decode_engines);
        this->site->set_host_limits(memory_mb, descriptors);
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
    }

    void tearDown() override { this->site.reset(); }

    std::future<site_response> send(const std::string& path, int deadline_ms, http::headers headers = {})
    {
        site_request request;
        request.path = path;
        request.id = "attempt-" + std::to_string(++this->sent);
        request.deadline_ms = deadline_ms;
        request.extra_headers = std::move(headers);
        if (path.starts_with("/stream/") || path.starts_with("/resume/"))
            request.extra_headers.insert(request.extra_headers.end(),
                                         {{"Model", "m"}, {"Token-Count", "300,100"}, {"Prefix-Hash", "a:200,b:100"}});
        return asio::co_spawn(this->site->io, call_gateway(this->site->callers_address(), request), asio::use_future);
    }

    std::vector<std::future<site_response>> send_many(int count, const std::string& path, int deadline_ms,
                                                      const http::headers& headers = {})
    {
        std::vector<std::future<site_response>> running;
        running.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i)
            running.push_back(this->send(path, deadline_ms, headers));
        return running;
    }

    static scripted_answer endless(const endless_form& form, const engine_call& call, milliseconds pause = 1ms)
    {
        const std::vector<std::string> parts = form.make_parts(call);
        scripted_answer answer{{parts[0]}};
        answer.pause = pause;
        answer.repeated = parts[1];
        return answer;
    }

    /// Lets the engines whose ids start so answer without end.
    void set_endless(const std::string& id_prefix, const endless_form& form)
    {
        for (const auto& [id, engine] : this->site->engines) {
            if (id.starts_with(id_prefix))
                engine->set_script([form](const engine_call& call) { return endless(form, call); });
        }
    }

    void check_process(const std::string& name)
    {
        auto& gateway = *this->site->gateway();
        std::cout << name << ": peak " << gateway.peak_memory_mb() << " MB\n";
        CPPUNIT_ASSERT_MESSAGE(name + ": the process has ended", gateway.is_running());
        CPPUNIT_ASSERT_MESSAGE(name + ": memory", gateway.peak_memory_mb() < memory_mb);
    }

    /// Sends a crowd of requests and checks the host meanwhile, and that none of them counts as a success.
    void check_crowd(const std::string& name, const std::string& path, int count, const http::headers& headers = {})
    {
        auto running = this->send_many(count, path, attack_ms, headers);
        CPPUNIT_ASSERT_MESSAGE(name + ": an ordinary call", this->is_ordinary_call_answered());
        for (auto& response : running) {
            const site_response received = response.get();
            const bool is_whole_success = received.status == status_ok && received.is_complete;
            CPPUNIT_ASSERT_MESSAGE(name + ": a success", !is_whole_success);
        }
        this->check_process(name);
    }

    bool is_ordinary_call_answered()
    {
        return wait_until([this] { return this->send("/plain/ordinary", 2'000).get().status == status_ok; }, 10s);
    }

    // Guards against a host that runs out of memory by the answers of faulty plain endpoints to many callers.
    void plain_calls_on_a_host_full_of_connections()
    {
        this->start(endpoint_count, 0, 0);
        for (const endless_form& form : all_forms()) {
            this->set_endless("p", form);
            // Answers ordinary calls, which may be repeated, and no others.
            this->site->engine("p0").set_script([form](const engine_call& call) -> scripted_answer {
                if (call.request.target == "/plain/ordinary")
                    return {{http_answer(status_ok, engine_headers(call), "sound")}};
                return endless(form, call);
            });
            auto running = this->send_many(crowd, "/once/1", attack_ms);
            for (auto& response : running) {
                const site_response received = response.get();
                CPPUNIT_ASSERT_MESSAGE(form.name, received.status == 0 || received.status >= min_failure_status);
            }
            this->check_process("plain, " + form.name);
        }
        for (const auto& [id, engine] : this->site->engines)
            engine->set_script(nullptr);
        CPPUNIT_ASSERT(this->is_ordinary_call_answered());
    }

    // Guards against the same by prefill answers, which have some dozen bytes.
    void prefill_answers()
    {
        for (const endless_form& form : all_forms()) {
            this->start(2, endpoint_count, endpoint_count);
            this->set_endless("r", form);
            auto running = this->send_many(400, "/stream/1", attack_ms);
            CPPUNIT_ASSERT_MESSAGE(form.name, this->is_ordinary_call_answered());
            for (auto& response : running)
                response.wait();
            this->check_process("prefill, " + form.name);
        }
    }

    // Guards against the same by the streams of many engines at once.
    void stream_answers_of_many_engines()
    {
        for (const auto& forms : {all_forms(), stream_forms()}) {
            for (const endless_form& form : forms) {
                this->start(2, 0, 2 * endpoint_count);
                this->set_endless("d", form);
                this->check_crowd("stream, " + form.name, "/stream/1", 600);
            }
        }
    }

    // Guards against the same by the engines that are asked to go on with streams that broke.
    void answers_to_resumed_streams()
    {
        for (const auto& forms : {all_forms(), stream_forms()}) {
            for (const endless_form& form : forms) {
                this->start(2, 0, 2 * endpoint_count);
                for (const auto& [id, engine] : this->site->engines) {
                    if (!id.starts_with("d"))
                        continue;
                    engine->set_script([form](const engine_call& call) -> scripted_answer {
                        if (!http::find_header(call.request.lines, "Last-Event-Id").empty())
                            return endless(form, call);
                        http::headers lines = engine_headers(call);
                        lines.push_back({"Content-Type", "text/event-stream"});
                        return {{unframed_answer(status_ok, lines, stream_event(call.id, 1))}, answer_end::reset};
                    });
                }
                this->check_crowd("resumed, " + form.name, "/resume/1", 400);
            }
        }
    }

    // Guards against the same where the caller goes on with a stream.
    void answers_to_streams_that_their_callers_resume()
    {
        for (const auto& forms : {all_forms(), stream_forms()}) {
            for (const endless_form& form : forms) {
                this->start(2, 0, endpoint_count);
                this->set_endless("d", form);
                this->check_crowd("resumed by the caller, " + form.name, "/resume/1", 300, {{"Last-Event-Id", "3"}});
            }
        }
    }

    // Guards against the same by answers to the release of prefill results, which nobody waits for.
    void answers_to_releases()
    {
        for (const endless_form& form : all_forms()) {
            this->start(2, endpoint_count, endpoint_count);
            for (const auto& [id, engine] : this->site->engines) {
                if (id.starts_with("r"))
                    engine->set_control_script([form](const engine_call& call) { return endless(form, call); });
                if (id.starts_with("d"))
                    engine->set_fault(engine_fault::shed);
            }
            auto running = this->send_many(200, "/stream/1", attack_ms);
            CPPUNIT_ASSERT_MESSAGE(form.name, this->is_ordinary_call_answered());
            for (auto& response : running)
                response.wait();
            int releases = 0;
            for (const auto& [id, engine] : this->site->engines) {
                for (const engine_call& call : engine->calls())
                    releases += call.kind == "release" ? 1 : 0;
            }
            CPPUNIT_ASSERT_MESSAGE(form.name, releases > 0);
            this->check_process("release, " + form.name);
        }
    }

    // Guards against the same by answers to orders, which the leading host sends.
    void answers_to_orders()
    {
        const std::vector<endless_form> forms = all_forms();
        this->start(2, endpoint_count, 1);
        std::atomic<std::size_t> turn = 0;
        for (const auto& [id, engine] : this->site->engines)
            engine->set_control_script(
                [&](const engine_call& call) { return endless(forms[turn++ % forms.size()], call); });
        const auto count_orders = [this] {
            std::ptrdiff_t orders = 0;
            for (const auto& [id, engine] : this->site->engines)
                orders += std::ranges::count(engine->calls(), "order", &engine_call::kind);
            return orders;
        };
        CPPUNIT_ASSERT(wait_until([&] { return count_orders() >= 3; }, 30s));
        CPPUNIT_ASSERT(this->is_ordinary_call_answered());
        std::this_thread::sleep_for(1s);
        this->check_process("orders");
    }

    // Guards against the same by the store, whose answers are larger than those of engines.
    void answers_of_the_store()
    {
        this->start(2, 0, 0);
        int version = 1;
        for (const store_fault fault : {store_fault::endless_heads, store_fault::endless_bodies}) {
            this->site->store->set_fault(fault);
            // Ends the waiting watches, so that their next calls meet the fault.
            this->site->write_config(++version);
            this->site->register_engines();
            for (int i = 0; i < 8; ++i) {
                CPPUNIT_ASSERT(this->is_ordinary_call_answered());
                std::this_thread::sleep_for(1s);
            }
            this->check_process(fault == store_fault::endless_heads ? "store, head" : "store, body");
        }
        this->site->store->set_fault(store_fault::none);
        this->site->write_config(++version, "/later/");
        CPPUNIT_ASSERT(wait_until([this] { return this->send("/later/1", 2'000).get().status == status_ok; }, 30s));
    }

    // Guards against a host that never becomes ready because the store was faulty while it started.
    void answers_of_the_store_to_a_host_that_starts()
    {
        for (const store_fault fault : {store_fault::endless_heads, store_fault::endless_bodies}) {
            this->site = std::make_unique<platform_site>(2, 0, 0);
            this->site->set_host_limits(memory_mb, descriptors);
            this->site->store->set_fault(fault);
            this->site->start_gateway();
            CPPUNIT_ASSERT(!this->site->wait_until_ready(6s));
            this->check_process("store at the start");
            this->site->store->set_fault(store_fault::none);
            CPPUNIT_ASSERT(this->site->wait_until_ready(20s));
        }
    }

    // Guards against the same by datagrams that come as fast as they can be sent.
    void datagrams_that_are_no_reports()
    {
        this->start(2, 0, 0);
        asio::io_context io;
        asio::ip::udp::socket sender{io, asio::ip::udp::v4()};
        const auto address = *http::parse_address(this->site->peer_address());
        const asio::ip::udp::endpoint receiver{address.address(), address.port()};
        std::thread flood{[&] {
            const auto end = std::chrono::steady_clock::now() + 3s;
            for (std::size_t size = 1; std::chrono::steady_clock::now() < end; size = size * 7 % 60'000 + 1) {
                boost::system::error_code ignored;
                sender.send_to(asio::buffer(std::string(size, static_cast<char>(size))), receiver, 0, ignored);
            }
        }};
        const bool is_answered = this->is_ordinary_call_answered();
        flood.join();
        CPPUNIT_ASSERT(is_answered);
        this->check_process("datagrams");
    }

    // Guards against the same by answers that come so slowly that no silence shows.
    void dripping_heads_on_a_host_full_of_connections()
    {
        this->start(endpoint_count, 0, 2 * endpoint_count);
        for (const auto& [id, engine] : this->site->engines) {
            engine->set_script([](const engine_call& call) -> scripted_answer {
                if (call.request.target == "/plain/ordinary")
                    return {{http_answer(status_ok, engine_headers(call), "sound")}};
                scripted_answer answer{{head_lines(call, "X-F: ")}};
                answer.pause = 20ms;
                answer.repeated = "x";
                return answer;
            });
        }
        auto calls = this->send_many(crowd / 2, "/once/1", 4'000);
        auto streams = this->send_many(crowd / 2, "/resume/1", 4'000);
        for (auto* running : {&calls, &streams}) {
            for (auto& response : *running)
                CPPUNIT_ASSERT(response.get().status != status_ok);
        }
        this->check_process("dripping heads");
        for (const auto& [id, engine] : this->site->engines)
            engine->set_script(nullptr);
        CPPUNIT_ASSERT(this->is_ordinary_call_answered());
    }

private:
    std::unique_ptr<platform_site> site;
    int sent = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_endless_answers);

} // namespace
