#include "http/connection_check.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "http/server.h"

namespace radishstep::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

asio::awaitable<connection_state> check_connection(std::string address, milliseconds connect_timeout,
                                                   milliseconds hold_time)
{
    const auto endpoint = parse_address(address);
    if (!endpoint)
        co_return connection_state::unreachable;
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    boost::system::error_code failure;
    stream.expires_after(connect_timeout);
    co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure == asio::error::connection_refused)
        co_return connection_state::refused;
    if (failure)
        co_return connection_state::unreachable;
    // Bytes that nobody asked for are no end.
    char unasked = 0;
    stream.expires_after(hold_time);
    co_await stream.async_read_some(asio::buffer(&unasked, 1), asio::redirect_error(asio::use_awaitable, failure));
    const bool has_ended = failure && failure != beast::error::timeout;
    co_return has_ended ? connection_state::ended : connection_state::open;
}

} // namespace radishstep::http
