#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/runtime_clock.h"

namespace radishstep::wire {

class Message;

/// One TCP connection between two radishstep processes that carries messages both ways. It sends a heartbeat every
/// `heartbeat_period` and closes itself when nothing was received from the peer for `peer_timeout`, which it checks
/// once per heartbeat.
class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    static constexpr std::chrono::milliseconds heartbeat_period{500};
    static constexpr std::chrono::milliseconds peer_timeout{2'000};
    static constexpr std::size_t max_frame_bytes = 8U * 1024 * 1024;
    static constexpr std::size_t max_outbox_frames = 100'000;

    explicit frame_link(boost::asio::ip::tcp::socket socket);

    /// Sets the hook that is called with each message of the peer except heartbeats.
    void on_message(std::function<void(const Message&)> hook);

    /// Sets the hook that runs once when the connection closes.
    void on_closed(std::function<void()> hook);

    /// Starts reading frames and sending heartbeats. The running coroutines own the link until it is closed.
    void start();

    /// Queues `message`. If `max_outbox_frames` are queued already, because the peer does not read, the link is closed.
    void send(const Message& message);

    /// Closes the connection and runs the hook of on_closed().
    void close();

    /// Returns false once the connection is closed.
    bool is_open() const;

private:
    boost::asio::awaitable<void> read_frames();
    boost::asio::awaitable<void> write_frames();
    boost::asio::awaitable<void> run_heartbeats();

    boost::asio::ip::tcp::socket socket;
    timer heartbeat_timer;
    std::function<void(const Message&)> message_hook;
    std::function<void()> closed_hook;
    std::deque<std::string> outbox;
    time_point last_received_at;
    bool is_writing = false;
    bool open = true;
};

} // namespace radishstep::wire
