#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/error.h"
#include "http/message.h"

namespace radishstep::http {

/// The way back to one caller, for one request.
class reply
{
public:
    virtual ~reply() = default;

    /// Sends a whole response. Returns false when the caller is gone.
    virtual boost::asio::awaitable<bool> send(response answer) = 0;

    /// Starts a chunked response. Returns false when the caller is gone.
    virtual boost::asio::awaitable<bool> begin(response head) = 0;

    /// Sends a part of a chunked response. Returns false when the caller is gone.
    virtual boost::asio::awaitable<bool> write(std::string part) = 0;

    /// Ends a chunked response. Returns false when the caller is gone.
    virtual boost::asio::awaitable<bool> finish() = 0;

    /// Sets the hook that runs, at most once, when the caller closes its side while it waits.
    virtual void on_caller_gone(std::function<void()> hook) = 0;
};

using request_handler = std::function<boost::asio::awaitable<void>(const request&, reply&)>;
using refusal_writer = std::function<response(const error&)>;

/// An HTTP/1.1 server with keep-alive on one executor. Bytes that are no acceptable request get a
/// typed refusal, written by the `refuse` hook, and the connection is closed.
class server
{
public:
    server(boost::asio::ip::tcp::acceptor listener, server_limits limits, request_handler handler,
           refusal_writer refuse);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Starts accepting connections.
    void start();

    /// Stops accepting; connections end after the answer in progress.
    void drain();

    /// Connections end after their next answer; new ones are still accepted.
    void stop_keeping();

    /// Closes the connections on which no request is being sent or answered.
    void close_idle();

    /// Takes new limits, in force from the next request of each connection.
    void set_limits(server_limits limits);

    /// Returns how many requests are being answered.
    std::size_t requests_in_progress() const;

    /// The state that the server's connections share with it.
    struct shared_state;

private:
    std::shared_ptr<shared_state> state;
};

/// Returns an acceptor that listens on `address` ("IP:port"), or an error naming the remedy.
result<boost::asio::ip::tcp::acceptor> listen(const boost::asio::any_io_executor& executor, const std::string& address);

/// Returns the endpoint that "IP:port" names, or an error naming the remedy.
result<boost::asio::ip::tcp::endpoint> parse_address(const std::string& address);

} // namespace radishstep::http
