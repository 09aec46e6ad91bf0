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

/// What a caller saw of one call.
struct call_outcome
{
    unsigned status = 0;
    std::string text;
    std::string error_kind;
    std::string ran;
    std::string request;
    std::string body;
    bool whole = false;
    bool connection_broke = false;
    double first_token_ms = 0;
    double total_ms = 0;
};

/// What a caller asks for.
struct call_wish
{
    std::string address;
    std::string key = "coach-key";
    std::string model = "gala-notes";
    std::string prompt;
    int max_tokens = 64;
    bool stream = true;
    /// Leave after so many tokens; 0 stays to the end.
    int leave_after_tokens = 0;
};

/// Makes calls as a client of the router, from a thread of its own.
class caller
{
public:
    caller();
    ~caller();
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    /// Runs a coroutine on the caller's thread and returns what it returns.
    template <typename T>
    T wait(boost::asio::awaitable<T> work)
    {
        return boost::asio::co_spawn(this->context, std::move(work), boost::asio::use_future).get();
    }

    /// Starts a coroutine and returns the future of its result.
    template <typename T>
    auto start(boost::asio::awaitable<T> work)
    {
        return boost::asio::co_spawn(this->context, std::move(work), boost::asio::use_future);
    }

    boost::asio::awaitable<call_outcome> complete(call_wish wish);
    boost::asio::awaitable<call_outcome> plain(std::string address, http::request asked);

    /// Returns the JSON or text body of a GET, "" when there is none.
    std::string get(const std::string& address, const std::string& target);
    void send(const std::string& address, const std::string& method, const std::string& target,
              const std::string& body);

private:
    boost::asio::io_context context{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    http::client calls;
    std::thread thread;
};

} // namespace radishstep::testing
