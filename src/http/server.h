#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/error.h"
#include "http/memory_budget.h"
#include "http/message.h"

namespace radishstep::http {

/// Sends the response to one request: either send() alone, or begin(), any number of write() and finish().
class reply
{
public:
    virtual ~reply() = default;

    /// Sends a whole response. Returns false when the write fails, as after a disconnect.
    virtual boost::asio::awaitable<bool> send(response answer) = 0;

    /// Starts a chunked response. Returns false when the write fails, as after a disconnect.
    virtual boost::asio::awaitable<bool> begin(response head) = 0;

    /// Sends a part of a chunked response. Returns false when the write fails, as after a disconnect.
    virtual boost::asio::awaitable<bool> write(std::string part) = 0;

    /// Ends a chunked response. Returns false when the write fails, as after a disconnect.
    virtual boost::asio::awaitable<bool> finish() = 0;

    /// Sets the hook that runs, at most once, when the caller closes its side of the connection while the request
    /// is being handled. The close is not detected once the caller has sent further bytes.
    virtual void on_caller_disconnected(std::function<void()> hook) = 0;
};

using request_handler = std::function<boost::asio::awaitable<void>(const request&, reply&)>;
using refusal_builder = std::function<response(const error&)>;

/// HTTP/1.1 server with keep-alive on one executor. A request that is malformed, too large or incomplete at
/// its timeout is answered with the response that `make_refusal` returns for the error, and its connection is closed.
class server
{
public:
    server(boost::asio::ip::tcp::acceptor listener, server_limits limits, request_handler handler,
           refusal_builder make_refusal);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Counts what connections hold against a budget, which is shared with others; called before start().
    void set_memory_budget(std::shared_ptr<memory_budget> budget);

    /// Starts accepting connections.
    void start();

    /// Stops accepting connections, after those that callers have opened already; existing ones close after their
    /// current response, or after the next one if its request has arrived by then.
    void drain();

    /// Closes each connection after the next response whose head is sent from now on and says so; new connections are
    /// still accepted.
    void disable_keep_alive();

    /// Closes the connections that wait for their next request, except those on which one has arrived but is not read
    /// yet.
    void close_idle();

    /// Replaces the limits. A connection reads the size limits when a request's first bytes have arrived, and
    /// each timeout when the step that it bounds begins.
    void set_limits(server_limits limits);

    /// Returns the number of requests that are being read or handled.
    std::size_t requests_in_progress() const;

    /// Returns the number of connections.
    std::size_t open_connections() const;

    /// Returns whether a connection could not be accepted within the last second, as when no descriptors are left.
    bool has_accept_failed() const;

    /// State shared by the server and its connections.
    struct shared_state;

private:
    std::shared_ptr<shared_state> state;
};

/// Returns an acceptor that listens on `address` ("IP:port"), or a bad_setting error with a remedy.
result<boost::asio::ip::tcp::acceptor> listen(const boost::asio::any_io_executor& executor, const std::string& address);

/// Returns the TCP address parsed from "IP:port", or a bad_setting error with a remedy.
result<boost::asio::ip::tcp::endpoint> parse_address(const std::string& address);

} // namespace radishstep::http
