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

asio::awaitable<void> pause_unless(std::function<bool()> should_end, runtime_clock::duration span)
{
    constexpr runtime_clock::duration poll_interval = milliseconds{100};
    const time_point deadline = runtime_clock::now() + span;
    while (runtime_clock::now() < deadline && !should_end())
        co_await pause_for(std::min(poll_interval, deadline - runtime_clock::now()));
}

milliseconds jittered(milliseconds min_pause, milliseconds max_pause)
{
    static thread_local std::minstd_rand random{std::random_device{}()};
    std::uniform_int_distribution<milliseconds::rep> distribution{min_pause.count(), max_pause.count()};
    return milliseconds{distribution(random)};
}

} // namespace radishstep
