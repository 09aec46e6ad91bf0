#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/message.h"

namespace radishstep::testing {

/// One accepted connection of a stand-in, on which any bytes may be written.
class raw_connection
{
public:
    explicit raw_connection(boost::asio::ip::tcp::socket socket) : socket(std::move(socket)) {}

    /// Sends bytes as they are. Returns false when the other side is gone.
    boost::asio::awaitable<bool> write(std::string bytes);

    /// Ends the connection with a reset.
    void reset();

    /// Ends the connection in order.
    void close();

    /// Returns true when the other side has closed.
    bool is_closed_by_peer();

    boost::asio::ip::tcp::socket socket;
};

/// Answers one request; returns whether the connection stays open.
using raw_handler = std::function<boost::asio::awaitable<bool>(const http::request&, raw_connection&)>;

/// Reads whole requests and lets the handler answer with any bytes, proper or not.
class raw_server
{
public:
    raw_server(const boost::asio::any_io_executor& executor, const std::string& address, raw_handler handler);

    /// Returns where it listens, as "IP:port".
    std::string address() const;

    /// Stops accepting connections.
    void stop();

private:
    boost::asio::awaitable<void> accept();
    static boost::asio::awaitable<void> serve(std::shared_ptr<raw_connection> caller, raw_handler handler);

    boost::asio::ip::tcp::acceptor listener;
    raw_handler handler;
};

/// Returns an answer in HTTP/1.1 with a length.
std::string http_answer(unsigned status, const http::headers& lines, const std::string& body);

} // namespace radishstep::testing
