#include "forward/call_canceller.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace radishstep::forward {

namespace asio = boost::asio;

std::shared_ptr<call_canceller> call_canceller::start(const asio::any_io_executor& executor, http::reply& caller,
                                              time_point limit)
{
    auto watch = std::make_shared<call_canceller>(executor, limit);
    const std::weak_ptr<call_canceller> weak{watch};
    caller.on_caller_disconnected([weak] {
        if (const auto alive = weak.lock()) {
            alive->gone = true;
            alive->end_call();
        }
    });
    watch->limit_timer.expires_at(limit);
    watch->limit_timer.async_wait([weak](const boost::system::error_code& stopped) {
        if (const auto alive = weak.lock(); alive && !stopped)
            alive->end_call();
    });
    return watch;
}

call_canceller::call_canceller(const asio::any_io_executor& executor, time_point limit)
    : limit_timer(executor), pause_timer(executor), until(limit)
{
}

std::shared_ptr<http::call_abort> call_canceller::next_call()
{
    this->running = std::make_shared<http::call_abort>();
    if (this->gone)
        this->running->abort();
    return this->running;
}

void call_canceller::stop()
{
    this->limit_timer.cancel();
    this->running = nullptr;
}

milliseconds call_canceller::time_left() const
{
    const auto span = std::chrono::duration_cast<milliseconds>(this->until - runtime_clock::now());
    return std::max(span, milliseconds{0});
}

asio::awaitable<void> call_canceller::wait_for(milliseconds span)
{
    if (this->gone)
        co_return;
    this->pause_timer.expires_after(std::min(span, this->time_left()));
    boost::system::error_code ignored;
    co_await this->pause_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void call_canceller::end_call()
{
    this->pause_timer.cancel();
    if (this->running)
        this->running->abort();
}

} // namespace radishstep::forward
