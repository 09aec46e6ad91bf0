#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/message.h"

namespace radishstep::testing {

/// An accepted connection on which any bytes can be sent.
class raw_connection
{
public:
    explicit raw_connection(boost::asio::ip::tcp::socket socket) : socket(std::move(socket)) {}

    /// Sends the bytes unchanged. Returns false if the peer has closed the connection.
    boost::asio::awaitable<bool> write(std::string bytes);

    /// Closes the connection with a TCP reset.
    void reset();

    /// Shuts the connection down and closes it.
    void close();

    /// Ends this side of the connection; the other side may still be read.
    void shut_down_sending();

    /// Returns whether the peer has closed the connection.
    bool is_closed_by_peer();

    boost::asio::ip::tcp::socket socket;
};

/// Handles one request; returns whether the connection stays open.
using raw_handler = std::function<boost::asio::awaitable<bool>(const http::request&, raw_connection&)>;

/// HTTP server whose handler may send any bytes, including malformed responses.
class raw_server
{
public:
    raw_server(const boost::asio::any_io_executor& executor, const std::string& address, raw_handler handler);

    /// Returns the executor on which connections are served.
    boost::asio::any_io_executor executor() { return this->listener.get_executor(); }

    /// Returns the listening address as "IP:port".
    std::string address() const;

    /// Stops accepting connections.
    void stop();

    /// Accepts connections at the same address again after stop().
    void start_again();

    /// Resets all connections; called on the executor.
    void reset_connections();

    /// Hands each request over as soon as its head has arrived, without its body, which is not read.
    void set_answering_early(bool early) { this->answers_early = early; }

    /// Sets the kernel's receive buffer of connections that are accepted from now on.
    void set_receive_buffer(int bytes);

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<raw_connection> caller);

    boost::asio::ip::tcp::acceptor listener;
    std::string listening_address;
    raw_handler handler;
    std::atomic<bool> answers_early = false;
    std::vector<std::weak_ptr<raw_connection>> connections;
};

/// Returns an HTTP/1.1 response with a Content-Length header.
std::string http_answer(unsigned status, const http::headers& lines, const std::string& body);

/// Returns an HTTP/1.1 response whose body is one chunk.
std::string chunked_answer(unsigned status, const http::headers& lines, const std::string& body);

/// Returns an HTTP/1.1 response with neither a length nor chunks, which ends with its connection.
std::string unframed_answer(unsigned status, const http::headers& lines, const std::string& body);

/// Returns one chunk of a chunked body.
std::string chunk(const std::string& bytes);

} // namespace radishstep::testing
