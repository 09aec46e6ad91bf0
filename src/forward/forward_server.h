#pragma once

#include <memory>

#include "forward/forward_context.h"
#include "forward/plain_forwarder.h"
#include "http/server.h"

namespace radishstep::forward {

/// Takes callers' requests, finds their route, and has them served.
class forward_server
{
public:
    forward_server(forward_context& context, boost::asio::ip::tcp::acceptor listener);

    /// Starts accepting callers.
    void start();

    /// Answers from now on say that the connection ends, so that callers move to other hosts.
    void send_callers_away();

    /// Stops accepting connections and closes those on which nothing happens.
    void stop_accepting();

    /// Takes the configuration's bounds for callers.
    void apply_limits(const caller_limits& limits);

    /// Returns how many requests are being served.
    std::size_t requests_in_progress() const { return this->server.requests_in_progress(); }

private:
    boost::asio::awaitable<void> answer(const http::request& asked, http::reply& caller);
    boost::asio::awaitable<void> refuse(const std::string& request_id, const error& reason, http::reply& caller);

    forward_context& context;
    http::server server;
};

} // namespace radishstep::forward
