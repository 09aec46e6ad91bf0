#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "base/error.h"
#include "broker/broker_settings.h"
#include "broker/duty_messages.h"
#include "membership/member_table.h"

namespace radishstep {

/// Runs the gossip protocol with the other hosts over UDP and publishes the member list to the cells duty.
class membership_duty
{
public:
    membership_duty(const broker_settings& settings, std::int64_t incarnation, membership_ring& inbox,
                    cells_ring& cells_inbox);

    /// Opens the gossip port; returns the reason when it cannot be bound.
    result<void> open();

    /// Runs the duty on the calling thread until stop() is called.
    void run();

    /// Makes run() return; safe on all threads.
    void stop();

private:
    boost::asio::awaitable<void> receive_loop();
    boost::asio::awaitable<void> tick_loop();
    void drain_inbox();
    void handle(const to_membership::config_version& message);
    void handle(const to_membership::peer_refused& message);
    void handle(const to_membership::seeds& message);
    void handle(const to_membership::leave& message);
    void send(const outgoing_messages& out);
    void publish_if_changed();

    membership_ring& inbox;
    cells_ring& cells_inbox;
    int gossip_port;
    std::string bind_address;
    boost::asio::io_context context;
    boost::asio::ip::udp::socket socket;
    member_table table;
    std::uint64_t published_revision = 0;
    bool has_published = false;
    time_point join_deadline;
};

} // namespace radishstep
