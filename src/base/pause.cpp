#include "base/pause.h"

#include <algorithm>
#include <random>

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

asio::awaitable<void> pause_unless(std::function<bool()> is_over, runtime_clock::duration span)
{
    constexpr runtime_clock::duration poll = milliseconds{100};
    const time_point until = runtime_clock::now() + span;
    while (runtime_clock::now() < until && !is_over())
        co_await pause_for(std::min(poll, until - runtime_clock::now()));
}

milliseconds jittered(milliseconds shortest, milliseconds longest)
{
    static thread_local std::minstd_rand random{std::random_device{}()};
    std::uniform_int_distribution<milliseconds::rep> spread{shortest.count(), longest.count()};
    return milliseconds{spread(random)};
}

} // namespace radishstep
