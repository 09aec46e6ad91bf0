#pragma once

#include <memory>
#include <optional>
#include <set>

#include "forward/gateway/forward_context.h"
#include "forward/serving/plain_forwarder.h"
#include "http/server.h"

namespace radishstep::forward {

/// Accepts callers' requests over HTTP, matches them to a route and forwards them.
class forward_server
{
public:
    forward_server(forward_context& context, boost::asio::ip::tcp::acceptor listener);

    /// Sets the memory budget of requests, and the bound of callers' connections (0: the server's own); before start().
    void set_resources(std::shared_ptr<http::memory_budget> budget, std::size_t connections);

    /// Starts accepting callers.
    void start();

    /// Closes each connection after its next response, so that callers reconnect to other hosts.
    void close_after_responses();

    /// Stops accepting connections and closes idle ones.
    void stop_accepting();

    /// Ends all requests whose responses have not started, with an error each that says whether they may have run.
    void end_unanswered_requests();

    /// Applies the configured limits for callers.
    void apply_limits(const caller_limits& limits);

    /// Returns whether a caller's connection could not be accepted within the last second.
    bool has_accept_failed() const { return this->server.has_accept_failed(); }

    /// Returns the number of callers' connections.
    std::size_t open_connections() const { return this->server.open_connections(); }

    /// Returns the number of requests that are being read or served.
    std::size_t requests_in_progress() const { return this->server.requests_in_progress(); }

private:
    boost::asio::awaitable<void> serve(const http::request& request, http::reply& caller);
    boost::asio::awaitable<void> refuse(const std::string& request_id, const error& reason, http::reply& caller,
                                        std::optional<milliseconds> retry_after = std::nullopt);

    forward_context& context;
    http::server server;
    http::server_limits limits;
    /// Requests that are being forwarded.
    std::set<std::shared_ptr<call_canceller>> running;
};

} // namespace radishstep::forward
