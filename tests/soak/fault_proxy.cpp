#include "fault_proxy.h"

#include <array>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "base/pause.h"
#include "http/server.h"

namespace radishstep::testing {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

void reset(asio::ip::tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

} // namespace

fault_proxy::fault_proxy(const asio::any_io_executor& executor, std::string target)
    : listener(std::move(*http::listen(executor, "127.0.0.1:0"))), target(std::move(target))
{
    asio::co_spawn(
        executor, [this] { return this->accept(); }, asio::detached);
}

std::string fault_proxy::address() const
{
    return "127.0.0.1:" + std::to_string(this->listener.local_endpoint().port());
}

asio::awaitable<void> fault_proxy::accept()
{
    while (true) {
        error_code failure;
        auto accepted = co_await this->listener.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        const auto caller_side = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
        const auto endpoint_side = std::make_shared<asio::ip::tcp::socket>(this->listener.get_executor());
        const auto endpoint = http::parse_address(this->target);
        co_await endpoint_side->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
        if (failure) {
            reset(*caller_side);
            continue;
        }
        asio::co_spawn(this->listener.get_executor(), relay(caller_side, endpoint_side, this->fault, false),
                       asio::detached);
        asio::co_spawn(this->listener.get_executor(), relay(endpoint_side, caller_side, this->fault, true),
                       asio::detached);
    }
}

asio::awaitable<void> fault_proxy::relay(socket_ptr from, socket_ptr to, shared_fault fault, bool is_answer)
{
    constexpr std::size_t piece_bytes = 4'096;
    constexpr milliseconds delay{50};
    constexpr milliseconds poll_interval{10};
    std::array<char, piece_bytes> piece{};
    while (true) {
        error_code failure;
        const std::size_t size =
            co_await from->async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
        while (*fault == proxy_fault::stall)
            co_await pause_for(poll_interval);
        if (*fault == proxy_fault::reset) {
            reset(*from);
            reset(*to);
            co_return;
        }
        if (*fault == proxy_fault::one_way && is_answer)
            continue;
        if (*fault == proxy_fault::delay)
            co_await pause_for(delay);
        co_await asio::async_write(*to, asio::buffer(piece, size), asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            break;
    }
    error_code ignored;
    to->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (is_answer)
        co_return;
    // The caller has disconnected: close the other connection at once, so that the endpoint notices it before
    // its answer is complete.
    to->close(ignored);
}

} // namespace radishstep::testing
