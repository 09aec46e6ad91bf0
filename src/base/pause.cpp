#include "base/pause.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace radishstep {

namespace asio = boost::asio;

asio::awaitable<void> pause_for(runtime_clock::duration span)
{
    timer pause{co_await asio::this_coro::executor};
    pause.expires_after(span);
    boost::system::error_code ignored;
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace radishstep
