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

/// The broker's platform duty: reads the host list, and watches the configuration while this host is
/// one of the few of its region that do.
class platform_duty
{
public:
    platform_duty(const broker_settings& settings, membership_ring& membership, cells_ring& cells);

    void run();
    void stop();

    /// Sets whether this host keeps a watch on the configuration; safe on all threads.
    void set_watching(bool watching);

private:
    boost::asio::awaitable<void> watch_config();
    boost::asio::awaitable<void> poll_hosts();

    membership_ring& membership;
    cells_ring& cells;
    boost::asio::io_context context;
    http::client calls;
    kv_client store;
    host_list_client hosts;
    std::atomic<bool> watching{true};
};

} // namespace radishstep
