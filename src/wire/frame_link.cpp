#include "wire/frame_link.h"

#include <array>
#include <cstdint>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include "base/hybrid_clock.h"
#include "wire/codec.h"
#include "wire/generated/radishstep_types.h"

namespace radishstep::wire {

namespace asio = boost::asio;

namespace {

/// Each frame starts with the length of its body and the sender's hybrid clock, both big-endian.
constexpr std::size_t length_bytes = sizeof(std::uint32_t);
constexpr std::size_t header_bytes = length_bytes + sizeof(std::uint64_t);

std::string to_frame(const Message& message)
{
    const std::string body = encode(message);
    std::string frame(header_bytes, '\0');
    auto* const header = reinterpret_cast<unsigned char*>(frame.data());
    boost::endian::store_big_u32(header, static_cast<std::uint32_t>(body.size()));
    boost::endian::store_big_u64(header + length_bytes, process_clock().next());
    return frame + body;
}

Message make_heartbeat()
{
    Message message;
    message.__set_heartbeat(Heartbeat{});
    return message;
}

} // namespace

frame_link::frame_link(asio::ip::tcp::socket connected)
    : socket(std::move(connected)), heartbeat_timer(this->socket.get_executor()), last_received_at(runtime_clock::now())
{
    boost::system::error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
}

void frame_link::on_message(std::function<void(const Message&)> hook)
{
    this->message_hook = std::move(hook);
}

void frame_link::on_closed(std::function<void()> hook)
{
    this->closed_hook = std::move(hook);
}

void frame_link::start()
{
    const auto self = this->shared_from_this();
    const auto executor = this->socket.get_executor();
    asio::co_spawn(
        executor, [self] { return self->read_frames(); }, asio::detached);
    asio::co_spawn(
        executor, [self] { return self->run_heartbeats(); }, asio::detached);
}

void frame_link::send(const Message& message)
{
    if (!this->open)
        return;
    if (this->outbox.size() >= max_outbox_frames) {
        this->close();
        return;
    }
    this->outbox.push_back(to_frame(message));
    if (this->is_writing)
        return;
    this->is_writing = true;
    asio::co_spawn(
        this->socket.get_executor(), [self = this->shared_from_this()] { return self->write_frames(); },
        asio::detached);
}

void frame_link::close()
{
    if (!this->open)
        return;
    this->open = false;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->heartbeat_timer.cancel();
    if (this->closed_hook)
        std::exchange(this->closed_hook, nullptr)();
}

bool frame_link::is_open() const
{
    return this->open;
}

asio::awaitable<void> frame_link::read_frames()
{
    std::string body;
    while (this->open) {
        std::array<unsigned char, header_bytes> header{};
        boost::system::error_code failure;
        co_await asio::async_read(this->socket, asio::buffer(header),
                                  asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
        const std::size_t length = boost::endian::load_big_u32(header.data());
        if (length > max_frame_bytes)
            break;
        body.resize(length);
        co_await asio::async_read(this->socket, asio::buffer(body), asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
        this->last_received_at = runtime_clock::now();
        process_clock().observe(boost::endian::load_big_u64(header.data() + length_bytes));
        const result<Message> message = decode_message(body);
        if (!message)
            break;
        if (!message->__isset.heartbeat && this->message_hook)
            this->message_hook(*message);
    }
    this->close();
}

asio::awaitable<void> frame_link::write_frames()
{
    while (this->open && !this->outbox.empty()) {
        std::string batch;
        for (const std::string& frame : this->outbox)
            batch += frame;
        this->outbox.clear();
        boost::system::error_code failure;
        co_await asio::async_write(this->socket, asio::buffer(batch),
                                   asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            this->close();
    }
    this->is_writing = false;
}

asio::awaitable<void> frame_link::run_heartbeats()
{
    while (this->open) {
        this->send(make_heartbeat());
        this->heartbeat_timer.expires_after(heartbeat_period);
        boost::system::error_code ignored;
        co_await this->heartbeat_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        if (this->open && this->last_received_at + peer_timeout < runtime_clock::now())
            this->close();
    }
}

} // namespace radishstep::wire
