#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "broker/broker_settings.h"
#include "broker/duty_messages.h"
#include "http/client.h"
#include "keyvalue/host_list_client.h"
#include "keyvalue/kv_client.h"

namespace radishstep {

/// Polls the host list, and watches the configuration in the key-value service while this host is one of
/// the watchers of its region; sends changes to the other duties. "Platform" means these two services of the
/// deployment; the platform/ folder is unrelated.
class platform_duty
{
public:
    platform_duty(const broker_settings& settings, membership_ring& membership_inbox, cells_ring& cells_inbox);

    /// Runs the duty on the calling thread until stop() is called.
    void run();

    /// Makes run() return; safe on all threads.
    void stop();

    /// Sets whether this host watches the configuration; safe on all threads.
    void set_config_watch(bool enabled);

private:
    boost::asio::awaitable<void> watch_config();
    boost::asio::awaitable<void> poll_host_list();

    membership_ring& membership_inbox;
    cells_ring& cells_inbox;
    boost::asio::io_context context;
    http::client http_client;
    kv_client key_values;
    host_list_client host_list;
    std::atomic<bool> is_watch_enabled{true};
};

} // namespace radishstep
