#pragma once

#include <string>
#include <thread>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "base/runtime_clock.h"
#include "http/client.h"

namespace radishstep::testing {

/// The result of one call as its caller received it.
struct call_outcome
{
    unsigned status = 0;
    std::string text;
    std::string error_kind;
    /// "not_run" or "may_have_run" in an error.
    std::string ran;
    /// The request id that the router assigned.
    std::string request;
    std::string body;
    /// The answer arrived up to its end and is not an error.
    bool whole = false;
    bool connection_broke = false;
    double first_token_ms = 0;
    double total_ms = 0;
};

/// A completion request, where to send it, and when its caller disconnects.
struct completion_call
{
    std::string address;
    std::string key = "coach-key";
    std::string model = "gala-notes";
    std::string prompt;
    int max_tokens = 64;
    bool stream = true;
    /// Disconnects after this many tokens; 0 waits for the end of the answer.
    int disconnect_after_tokens = 0;
};

/// Sends calls to the router on its own thread.
class caller
{
public:
    caller();
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// Runs a coroutine on the caller's thread, blocks until it ends and returns its result.
    template <typename T>
    T wait(boost::asio::awaitable<T> work)
    {
        return boost::asio::co_spawn(this->context, std::move(work), boost::asio::use_future).get();
    }

    /// Starts a coroutine on the caller's thread and returns the future of its result.
    template <typename T>
    auto start(boost::asio::awaitable<T> work)
    {
        return boost::asio::co_spawn(this->context, std::move(work), boost::asio::use_future);
    }

    /// Sends a completion request and returns its outcome.
    boost::asio::awaitable<call_outcome> complete(completion_call completion);
    /// Sends a plain HTTP request and returns its outcome.
    boost::asio::awaitable<call_outcome> plain(std::string address, http::request http_request);

    /// Sends a GET and returns the body of the answer, "" when there is none.
    std::string get(const std::string& address, const std::string& target);
    /// Sends a request and waits for its answer, which is ignored.
    void send(const std::string& address, const std::string& method, const std::string& target,
              const std::string& body);

private:
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    http::client calls;
    std::thread thread;
};

} // namespace radishstep::testing
