#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "base/runtime_clock.h"
#include "http/message.h"

namespace radishstep::http {

/// Lets another part of the process end a call that is in progress.
class call_abort
{
public:
    /// Ends the call; it fails with connection_lost. Does nothing when no call is running.
    void abort();

    /// Sets what ends the running call; used by the client.
    void set_hook(std::function<void()> hook);

    /// Returns true once abort() was called.
    bool is_aborted() const;

private:
    std::function<void()> hook;
    bool aborted = false;
};

/// How one call is to be made.
struct call_options
{
    milliseconds connect_time{1'000};
    milliseconds idle_timeout{5'000};
    /// The call gets a connection of its own, which is closed after it.
    bool fresh_connection = false;
    std::shared_ptr<call_abort> abort;
    /// Tells whether an answer belongs to this call; another call's answer makes the call fail with
    /// `protocol` and closes the connection. Without the hook, each answer belongs to its call.
    std::function<bool(const response&)> is_ours;
};

/// A response whose body arrives in parts.
class body_stream
{
public:
    virtual ~body_stream() = default;

    /// Returns the head of the response; its body is empty.
    virtual const response& head() const = 0;

    /// Returns the next bytes of the body, or "" at its proper end. Silence is an error.
    virtual boost::asio::awaitable<result<std::string>> next() = 0;
};

/// Makes HTTP/1.1 calls from one executor and keeps idle connections. Its errors tell what is known
/// of the call: after
/// `not_sent` and `connection_refused` no byte of it left, after anything else it may have arrived.
class client
{
public:
    explicit client(boost::asio::any_io_executor executor);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Returns the whole response of a call to `address` ("IP:port").
    boost::asio::awaitable<result<response>> call(std::string address, request asked, call_options options);

    /// Returns the response of a call as a stream, once its head has arrived.
    boost::asio::awaitable<result<std::unique_ptr<body_stream>>> open(std::string address, request asked,
                                                                      call_options options);

    /// The connections that are kept open between calls.
    struct idle_pool;

private:
    std::shared_ptr<idle_pool> idle;
};

} // namespace radishstep::http
