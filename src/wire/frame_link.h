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

/// One TCP connection between two of our processes that carries messages both ways. It sends a
/// heartbeat when idle and closes itself when the peer has been silent for too long.
class frame_link : public std::enable_shared_from_this<frame_link>
{
public:
    static constexpr std::chrono::milliseconds heartbeat_period{500};
    static constexpr std::chrono::milliseconds silence_limit{2'000};
    static constexpr std::size_t max_frame_bytes = 8U * 1024 * 1024;
    static constexpr std::size_t max_outbox_frames = 100'000;

    explicit frame_link(boost::asio::ip::tcp::socket socket);

    /// Sets the hook that gets each message of the peer, heartbeats left out.
    void on_message(std::function<void(const Message&)> hook);

    /// Sets the hook that runs once when the connection is over.
    void on_closed(std::function<void()> hook);

    /// Starts reading, writing and watching. The link keeps itself alive until it is closed.
    void start();

    /// Queues `message`; a peer that does not take its messages loses the link.
    void send(const Message& message);

    /// Ends the connection.
    void close();

    /// Returns false once the connection is over.
    bool is_open() const;

private:
    boost::asio::awaitable<void> read_frames();
    boost::asio::awaitable<void> write_frames();
    boost::asio::awaitable<void> watch_silence();

    boost::asio::ip::tcp::socket socket;
    timer watch_timer;
    std::function<void(const Message&)> message_hook;
    std::function<void()> closed_hook;
    std::deque<std::string> outbox;
    time_point last_heard;
    bool writing = false;
    bool open = true;
};

} // namespace radishstep::wire
