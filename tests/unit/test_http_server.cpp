#include <sys/resource.h>
#include <unistd.h>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base/metrics.h"
#include "base/runtime_clock.h"
#include "entry/completion_api.h"
#include "http/server.h"

namespace {

namespace asio = boost::asio;
using namespace radishstep;

/// Runs a server with small limits on its own thread and opens raw connections to it.
class test_server
{
public:
    test_server()
    {
        auto listener = http::listen(this->context.get_executor(), "127.0.0.1:0");
        this->endpoint = listener->local_endpoint();
        http::server_limits limits;
        limits.body_bytes = 2'000;
        limits.header_bytes = 1'000;
        limits.header_timeout = std::chrono::milliseconds{150};
        limits.body_timeout = std::chrono::milliseconds{150};
        limits.idle_timeout = std::chrono::milliseconds{2'000};
        auto handler = [this](const http::request& incoming, http::reply& reply) {
            return this->handle(incoming, reply);
        };
        this->server = std::make_unique<http::server>(std::move(*listener), limits, handler, [](const error& reason) {
            return refusal_response(reason, false, "", 0);
        });
        this->server->start();
        this->thread = std::thread{[this] { this->context.run(); }};
    }

    ~test_server()
    {
        this->context.stop();
        this->thread.join();
    }

    test_server(const test_server&) = delete;
    test_server& operator=(const test_server&) = delete;

    /// Sends raw bytes and returns everything received until the server closes the connection.
    std::string exchange(const std::string& bytes, bool half_close = true)
    {
        asio::io_context own;
        asio::ip::tcp::socket socket{own};
        socket.connect(this->endpoint);
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        if (half_close)
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    /// Sends one request, waits for its answer and `pause`, and returns the answer to a second request on the same
    /// connection; "" if the server has closed it.
    std::string answer_after_pause(const std::string& first, std::chrono::milliseconds pause, const std::string& second)
    {
        asio::io_context own;
        asio::ip::tcp::socket socket{own};
        socket.connect(this->endpoint);
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(first), ignored);
        std::string first_answer;
        asio::read_until(socket, asio::dynamic_buffer(first_answer), "\r\n\r\n", ignored);
        std::this_thread::sleep_for(pause);
        asio::write(socket, asio::buffer(second), ignored);
        std::string answer;
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }

    /// Sends a request in parts with pauses and returns why one of them could not be sent.
    boost::system::error_code send_in_parts(const std::vector<std::string>& parts)
    {
        asio::io_context own;
        asio::ip::tcp::socket socket{own};
        socket.connect(this->endpoint);
        boost::system::error_code failure;
        for (const std::string& part : parts) {
            if (!failure)
                asio::write(socket, asio::buffer(part), failure);
            std::this_thread::sleep_for(std::chrono::milliseconds{50});
        }
        return failure;
    }

    const asio::ip::tcp::endpoint& address() const { return this->endpoint; }

    std::atomic<int> handled_requests{0};
    std::atomic<int> disconnects{0};

private:
    asio::awaitable<void> handle(const http::request& incoming, http::reply& reply)
    {
        ++this->handled_requests;
        if (incoming.path() == "/stop-inside-the-answer") {
            http::response head;
            co_await reply.begin(std::move(head));
            this->server->disable_keep_alive();
            co_await reply.finish();
            co_return;
        }
        if (incoming.path() == "/slow") {
            reply.on_caller_disconnected([this] { ++this->disconnects; });
            asio::steady_timer pause{this->context, std::chrono::milliseconds{200}};
            co_await pause.async_wait(asio::use_awaitable);
        }
        http::response answer = http::text_response(200, incoming.body);
        co_await reply.send(std::move(answer));
        if (incoming.path() == "/lower-idle-timeout") {
            http::server_limits limits;
            limits.idle_timeout = std::chrono::milliseconds{50};
            this->server->set_limits(limits);
        }
        if (incoming.path() == "/raise-limits-while-idle") {
            // Runs when the connection waits for its next request.
            asio::post(this->context, [this] {
                http::server_limits limits;
                limits.body_bytes = 200'000;
                limits.header_bytes = 100'000;
                this->server->set_limits(limits);
            });
        }
    }

    asio::io_context context{1};
    asio::ip::tcp::endpoint endpoint;
    std::unique_ptr<http::server> server;
    std::thread thread;
};

/// A server and a caller with one connection on a paused clock, which run on the calling thread.
class paused_server
{
public:
    paused_server() : caller(this->context)
    {
        runtime_clock::pause();
        auto listener = http::listen(this->context.get_executor(), "127.0.0.1:0");
        const auto endpoint = listener->local_endpoint();
        const auto handler = [](const http::request&, http::reply& reply) { return answer(reply); };
        this->server =
            std::make_unique<http::server>(std::move(*listener), http::server_limits{}, handler,
                                           [](const error& reason) { return refusal_response(reason, false, "", 0); });
        this->server->start();
        this->caller.connect(endpoint);
        this->run_until([this] { return this->server->open_connections() == 1; });
    }

    ~paused_server() { runtime_clock::resume(); }
    paused_server(const paused_server&) = delete;
    paused_server& operator=(const paused_server&) = delete;

    /// Sends a request at `arrival` from now, when the clock already shows `arrival` + `delay`: whatever ends in
    /// between does so right after the request has arrived. Returns everything that the caller receives.
    std::string answer_to_late_request(runtime_clock::duration arrival, runtime_clock::duration delay)
    {
        timer sending{this->context, runtime_clock::now() + arrival};
        sending.async_wait([this](const boost::system::error_code&) {
            asio::write(this->caller, asio::buffer(std::string{"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"}));
        });
        std::string received;
        bool is_closed = false;
        asio::async_read(this->caller, asio::dynamic_buffer(received),
                         [&is_closed](const boost::system::error_code&, std::size_t) { is_closed = true; });
        this->context.poll();
        runtime_clock::advance(arrival + delay);
        this->run_until([&is_closed] { return is_closed; });
        return received;
    }

private:
    static asio::awaitable<void> answer(http::reply& reply)
    {
        http::response whole = http::text_response(200, "answer");
        co_await reply.send(std::move(whole));
    }

    void run_until(const std::function<bool()>& condition)
    {
        constexpr int most_steps = 1'000;
        for (int step = 0; step < most_steps && !condition(); ++step)
            this->context.run_for(std::chrono::milliseconds{2});
        CPPUNIT_ASSERT(condition());
        // What follows the condition runs, too, such as the first read of a connection.
        this->context.poll();
    }

    asio::io_context context{1};
    asio::ip::tcp::socket caller;
    std::unique_ptr<http::server> server;
};

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

class test_http_server : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_http_server);
    CPPUNIT_TEST(malformed_request_is_refused_with_400_and_not_handled);
    CPPUNIT_TEST(oversized_header_or_body_is_refused_with_413);
    CPPUNIT_TEST(incomplete_request_is_refused_with_408_after_timeout);
    CPPUNIT_TEST(chunked_body_over_limit_is_refused_with_413);
    CPPUNIT_TEST(pipelined_requests_are_answered_in_order);
    CPPUNIT_TEST(caller_disconnect_runs_hook_once);
    CPPUNIT_TEST(answers_tell_how_long_an_idle_connection_stays_open);
    CPPUNIT_TEST(announced_idle_time_outlasts_a_lower_limit);
    CPPUNIT_TEST(raised_limits_apply_to_the_next_request_of_an_idle_connection);
    CPPUNIT_TEST(header_line_that_cannot_be_stored_is_refused);
    CPPUNIT_TEST(refusal_of_an_unread_body_is_not_followed_by_a_reset);
    CPPUNIT_TEST(request_that_arrives_before_the_idle_time_ends_is_answered);
    CPPUNIT_TEST(request_after_a_stream_that_a_stop_met_is_answered);
    CPPUNIT_TEST(connections_wait_while_no_descriptors_are_left);
    CPPUNIT_TEST_SUITE_END();

    void malformed_request_is_refused_with_400_and_not_handled()
    {
        test_server running;
        for (const char* const bytes :
             {"nonsense\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "G\x01T / HTTP/1.1\r\n\r\n",
              "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
              "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
              "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "POST / HTTP/1.1\r\nContent-Length: 99x\r\n\r\n",
              "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n\r\n"}) {
            const std::string answer = running.exchange(bytes);
            CPPUNIT_ASSERT_MESSAGE(bytes, contains(answer, "400 Bad Request") && contains(answer, "bad_request"));
        }
        CPPUNIT_ASSERT_EQUAL(0, running.handled_requests.load());
    }

    void oversized_header_or_body_is_refused_with_413()
    {
        test_server running;
        CPPUNIT_ASSERT(contains(running.exchange("POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n"), "413"));
        CPPUNIT_ASSERT(
            contains(running.exchange("GET / HTTP/1.1\r\nX: " + std::string(5'000, 'x') + "\r\n\r\n"), "413"));
        CPPUNIT_ASSERT_EQUAL(0, running.handled_requests.load());
    }

    void incomplete_request_is_refused_with_408_after_timeout()
    {
        test_server running;
        CPPUNIT_ASSERT(contains(running.exchange("GET / HTTP/1.1\r\nX: ", false), "408"));
        CPPUNIT_ASSERT(contains(running.exchange("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", false), "408"));
        CPPUNIT_ASSERT_EQUAL(0, running.handled_requests.load());
    }

    void chunked_body_over_limit_is_refused_with_413()
    {
        test_server running;
        std::string bytes = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (int i = 0; i < 100; ++i)
            bytes += "40\r\n" + std::string(64, 'x') + "\r\n";
        CPPUNIT_ASSERT(contains(running.exchange(bytes), "413"));
        CPPUNIT_ASSERT_EQUAL(0, running.handled_requests.load());
    }

    void pipelined_requests_are_answered_in_order()
    {
        test_server running;
        const std::string answer =
            running.exchange("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nfirst"
                             "POST / HTTP/1.1\r\nContent-Length: 6\r\nConnection: close\r\n\r\nsecond");
        CPPUNIT_ASSERT(answer.find("first") < answer.find("second"));
        CPPUNIT_ASSERT_EQUAL(2, running.handled_requests.load());
    }

    void caller_disconnect_runs_hook_once()
    {
        test_server running;
        running.exchange("GET /slow HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT_EQUAL(1, running.disconnects.load());
    }

    // Guards against requests that cross the close of an idle connection and get no answer.
    void answers_tell_how_long_an_idle_connection_stays_open()
    {
        test_server running;
        CPPUNIT_ASSERT(contains(running.exchange("GET / HTTP/1.1\r\n\r\n"), "Keep-Alive: timeout=1\r\n"));
        CPPUNIT_ASSERT(!contains(running.exchange("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), "Keep-Alive:"));
    }

    // Guards against the same after a change of the limit, on connections whose callers know the old one.
    void announced_idle_time_outlasts_a_lower_limit()
    {
        test_server running;
        const std::string answer =
            running.answer_after_pause("GET /lower-idle-timeout HTTP/1.1\r\n\r\n", std::chrono::milliseconds{900},
                                       "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
    }

    // Guards against a refusal, or a reset without one, of a request that a new configuration allows.
    void raised_limits_apply_to_the_next_request_of_an_idle_connection()
    {
        test_server running;
        constexpr std::size_t header_bytes = 50'000;
        constexpr std::size_t body_bytes = 150'000;
        const std::string answer = running.answer_after_pause(
            "GET /raise-limits-while-idle HTTP/1.1\r\n\r\n", std::chrono::milliseconds{100},
            "POST / HTTP/1.1\r\nConnection: close\r\nX: " + std::string(header_bytes, 'x') +
                "\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x'));
        CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 200), answer.starts_with("HTTP/1.1 200"));
    }

    // Guards against a process that ends because of a header line that a configuration allows.
    void header_line_that_cannot_be_stored_is_refused()
    {
        test_server running;
        constexpr std::size_t header_bytes = 80'000;
        const std::string answer = running.answer_after_pause(
            "GET /raise-limits-while-idle HTTP/1.1\r\n\r\n", std::chrono::milliseconds{100},
            "GET / HTTP/1.1\r\nConnection: close\r\nX: " + std::string(header_bytes, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer.substr(0, 200), answer.starts_with("HTTP/1.1 413"));
    }

    // Guards against refusals that a reset destroys on their way, so that callers get neither an answer nor a refusal.
    void refusal_of_an_unread_body_is_not_followed_by_a_reset()
    {
        test_server running;
        const std::string part(1'000, 'x');
        const boost::system::error_code failure =
            running.send_in_parts({"POST / HTTP/1.1\r\nContent-Length: 99999\r\n\r\n", part, part, part});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(failure.message(), false, failure.failed());
    }

    // Guards against an idle connection that is closed although its next request has arrived in time and is only not
    // read yet.
    void request_that_arrives_before_the_idle_time_ends_is_answered()
    {
        paused_server running;
        const std::string answer = running.answer_to_late_request(
            http::server_limits{}.idle_timeout - std::chrono::milliseconds{1}, std::chrono::milliseconds{2});
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
    }

    // Guards against a close right after a stream whose head, sent before the stop, said that the connection stays
    // open: the caller's next request crosses it and gets no answer.
    void request_after_a_stream_that_a_stop_met_is_answered()
    {
        test_server running;
        const std::string answer = running.answer_after_pause("GET /stop-inside-the-answer HTTP/1.1\r\n\r\n",
                                                              std::chrono::milliseconds{100}, "GET / HTTP/1.1\r\n\r\n");
        CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "HTTP/1.1 200") && contains(answer, "Connection: close"));
    }

    static int accept_failures()
    {
        const std::string name = "radishstep_http_accept_failures_total ";
        const std::string text = metrics_text();
        const std::size_t at = text.find("\n" + name);
        return at == std::string::npos ? 0 : std::stoi(text.substr(at + 1 + name.size()));
    }

    // Failure: a server without free descriptors tried to accept again and again without a pause, so that nothing else
    // of its process ran.
    void connections_wait_while_no_descriptors_are_left()
    {
        test_server running;
        asio::io_context own;
        std::vector<asio::ip::tcp::socket> callers;
        for (int i = 0; i < 3; ++i) {
            callers.emplace_back(own);
            callers.back().open(asio::ip::tcp::v4());
        }
        rlimit before{};
        CPPUNIT_ASSERT_EQUAL(0, ::getrlimit(RLIMIT_NOFILE, &before));
        const int lowest_free = ::dup(callers.front().native_handle());
        ::close(lowest_free);
        rlimit exhausted = before;
        exhausted.rlim_cur = static_cast<rlim_t>(lowest_free);
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &exhausted));
        for (auto& caller : callers)
            caller.connect(running.address());
        std::this_thread::sleep_for(std::chrono::milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(0, ::setrlimit(RLIMIT_NOFILE, &before));
        const int failures = accept_failures();
        CPPUNIT_ASSERT(failures > 0);
        constexpr int most_failures = 20;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(failures), failures <= most_failures);
        for (auto& caller : callers) {
            asio::write(caller, asio::buffer(std::string{"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"}));
            std::string answer;
            boost::system::error_code end;
            asio::read(caller, asio::dynamic_buffer(answer), end);
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, "HTTP/1.1 200"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_http_server);

} // namespace
