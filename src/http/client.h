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
#include "http/memory_budget.h"
#include "http/message.h"

namespace radishstep::http {

/// Lets code outside the call abort it while it is in progress.
class call_abort
{
public:
    /// Closes the connection of the running call, which then fails with connection_lost. A call that has not
    /// obtained its connection yet fails with not_sent.
    void abort();

    /// Sets the hook that closes the running call's connection; called by the client only.
    void set_hook(std::function<void()> hook);

    /// Returns true once abort() has been called.
    bool is_aborted() const;

private:
    std::function<void()> hook;
    bool aborted = false;
};

/// Timeouts and connection handling of one call.
struct call_options
{
    milliseconds connect_timeout{1'000};
    /// Limits the sending of the request. client::call() then applies it to the whole response, client::open() and
    /// client::send() to the head and to each read of the body.
    milliseconds idle_timeout{5'000};
    /// Opens a new connection for the call and does not return it to the idle pool.
    bool fresh_connection = false;
    std::shared_ptr<call_abort> abort;
    /// Returns whether a response belongs to this call. If it returns false, the call fails with
    /// `protocol` and its connection is closed. Unset: every response is accepted. Checked by client::call() only.
    std::function<bool(const response&)> is_matching_response;
    /// Called with the head of the response as soon as it has arrived, whether or not its body ever does. Used by
    /// client::call() only.
    std::function<void(const response& head)> on_head;
};

/// A response that is read in parts as it arrives. A read that takes longer than the read timeout fails with
/// `timed_out` and leaves the connection open, so that it can be repeated. Destruction closes the connection of a
/// response that has not been read to its end.
class body_stream
{
public:
    virtual ~body_stream() = default;

    /// Reads status and headers. A connection that closes earlier is an error.
    virtual boost::asio::awaitable<result<void>> read_head() = 0;

    /// Returns status and headers of the response once they have been read; its body is empty.
    virtual const response& head() const = 0;

    /// Returns the next bytes of the body, or "" at its regular end. A connection that closes earlier is an error.
    virtual boost::asio::awaitable<result<std::string>> next() = 0;

    /// Sets the time that each read may take from now on; initially the call's idle timeout.
    virtual void set_read_timeout(milliseconds timeout) = 0;

    /// Returns whether bytes have arrived that were not read yet, or the connection has ended.
    virtual bool has_unread_bytes() = 0;
};

/// HTTP/1.1 client on one executor, with a pool of idle connections per address. Endpoints that send bytes without end
/// cannot exhaust its memory: heads and responses have a maximum size, and so have all responses together that are
/// being read by call(). After the errors `not_sent`, `connection_refused` and `bad_setting` (an address that cannot be
/// parsed) no byte of the request was sent; after any other error the endpoint may have received it.
class client
{
public:
    explicit client(boost::asio::any_io_executor executor);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Longest response that call() accepts.
    static constexpr std::size_t max_response_bytes = 16UL * 1024 * 1024;
    /// Size of all responses together that call() reads at a time: a quarter of a small host's memory of 88 MB.
    static constexpr std::size_t max_buffered_bytes = 22UL * 1024 * 1024;
    /// Part of a response that does not count against max_buffered_bytes, so that usual responses pass while others are
    /// without end.
    static constexpr std::size_t guaranteed_response_bytes = 64UL * 1024;

    /// Sends a request to `address` ("IP:port") and returns the whole response, or a `protocol` error if it is too
    /// long.
    boost::asio::awaitable<result<response>> call(std::string address, request outgoing, call_options options);

    /// Sends a request and returns its response as a stream once the response head has arrived.
    boost::asio::awaitable<result<std::unique_ptr<body_stream>>> open(std::string address, request outgoing,
                                                                      call_options options);

    /// Sends a request and returns its response as a stream whose head has not been read.
    boost::asio::awaitable<result<std::unique_ptr<body_stream>>> send(std::string address, request outgoing,
                                                                      call_options options);

    /// Counts the responses that call() reads from now on against a budget.
    void set_memory_budget(std::shared_ptr<memory_budget> budget);

    /// Closes all connections without a call, whose descriptors are needed.
    void close_idle();

    /// Connections that stay open between calls.
    struct idle_pool;

private:
    std::shared_ptr<idle_pool> idle_connections;
};

} // namespace radishstep::http
