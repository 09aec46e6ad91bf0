#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/error.h"
#include "entry/completion_api.h"
#include "entry/control_messages.h"
#include "entry/entry_settings.h"
#include "entry/traffic_context.h"
#include "http/server.h"

namespace radishstep {

/// The entry process's traffic duty: accepts callers' HTTP requests, authenticates and authorizes them, and serves
/// them.
class entry_server
{
public:
    entry_server(const entry_settings& settings, std::int64_t incarnation, control_ring& control_inbox,
                 traffic_ring& inbox, std::function<bool()> may_accept_callers);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Starts listening on the callers' port; returns the error if that fails.
    result<void> open();

    /// Runs the duty on the calling thread; returns after stop() or a completed drain.
    void run();

    /// Makes run() return; thread-safe.
    void stop();

    /// Ends readiness, stops accepting connections after readiness_drain_delay, and makes run() return when no
    /// request is left or the drain timeout has passed; thread-safe.
    void drain();

    /// Returns the number of HTTP requests being served, health checks included; thread-safe.
    std::size_t running_request_count() const { return this->running_requests; }

    /// Returns true when load balancers may send callers to this process; thread-safe.
    bool is_ready() const;

private:
    /// A completion request and the pool that serves it.
    struct completion_target
    {
        completion_request completion;
        pool_config pool;
    };

    boost::asio::awaitable<void> handle(const http::request& request, http::reply& reply);
    boost::asio::awaitable<void> route(const http::request& request, http::reply& reply);
    boost::asio::awaitable<void> serve_completion(const http::request& request, const client_config& client,
                                                  bool is_chat, http::reply& reply);
    boost::asio::awaitable<void> serve_plain_call(const http::request& request, const client_config& client,
                                                  http::reply& reply);
    boost::asio::awaitable<void> refuse(error reason, http::reply& reply);
    boost::asio::awaitable<void> drain_and_stop();
    result<completion_target> resolve_completion(const http::request& request, const client_config& client,
                                                 bool is_chat) const;
    result<service_config> find_service(const http::request& request, const client_config& client) const;
    http::response models_response(const client_config& client) const;
    result<client_config> authenticate(const http::request& request) const;
    void drain_inbox();

    entry_settings settings;
    traffic_ring& inbox;
    std::function<bool()> may_accept_callers;
    boost::asio::io_context context;
    traffic_context shared;
    std::unique_ptr<http::server> server;
    std::atomic<std::size_t> running_requests{0};
    std::atomic<bool> has_config{false};
    std::atomic<bool> is_draining{false};
};

} // namespace radishstep
