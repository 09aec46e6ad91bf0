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

/// The broker's membership duty: gossips with the other hosts over UDP and tells the cells duty who
/// they are.
class membership_duty
{
public:
    membership_duty(const broker_settings& settings, std::int64_t incarnation, membership_ring& inbox,
                    cells_ring& cells);

    /// Opens the gossip port, or says why it cannot.
    result<void> open();

    void run();
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
    void publish();

    membership_ring& inbox;
    cells_ring& cells;
    int gossip_port;
    std::string address;
    boost::asio::io_context context;
    boost::asio::ip::udp::socket socket;
    member_table table;
    std::uint64_t published = 0;
    bool ever_published = false;
    time_point joined_at;
};

} // namespace radishstep
