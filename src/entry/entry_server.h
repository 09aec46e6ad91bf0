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

/// The entry's traffic duty: takes callers' HTTP requests, checks who asks for what, and serves them.
class entry_server
{
public:
    entry_server(const entry_settings& settings, std::int64_t incarnation, control_ring& control, traffic_ring& inbox,
                 std::function<bool()> may_take_callers);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;

    /// Opens the callers' port, or says why it cannot.
    result<void> open();

    /// Runs the duty on the calling thread until stop() is called.
    void run();

    /// Makes run() return; safe on all threads.
    void stop();

    /// Ends readiness, then stops accepting, then stops when no request is left or the time is over;
    /// safe on all threads.
    void drain();

    /// Returns how many requests are being served; safe on all threads.
    std::size_t in_progress() const { return this->running_requests; }

    /// Returns true when callers may be sent here; safe on all threads.
    bool is_ready() const;

private:
    /// A completion and the pool that serves it.
    struct completion_target
    {
        completion_request wanted;
        pool_config pool;
    };

    boost::asio::awaitable<void> handle(const http::request& asked, http::reply& reply);
    boost::asio::awaitable<void> route(const http::request& asked, http::reply& reply);
    boost::asio::awaitable<void> serve_completion(const http::request& asked, const client_config& client, bool chat,
                                                  http::reply& reply);
    boost::asio::awaitable<void> serve_plain(const http::request& asked, const client_config& client,
                                             http::reply& reply);
    boost::asio::awaitable<void> refuse(error reason, http::reply& reply);
    boost::asio::awaitable<void> drain_and_stop();
    result<completion_target> read_completion(const http::request& asked, const client_config& client, bool chat) const;
    result<service_config> find_service(const http::request& asked, const client_config& client) const;
    http::response models_page(const client_config& client) const;
    result<client_config> authenticate(const http::request& asked) const;
    void drain_inbox();

    entry_settings settings;
    traffic_ring& inbox;
    std::function<bool()> may_take_callers;
    boost::asio::io_context context;
    traffic_context shared;
    std::unique_ptr<http::server> server;
    std::atomic<std::size_t> running_requests{0};
    std::atomic<bool> has_config{false};
    std::atomic<bool> draining{false};
};

} // namespace radishstep
