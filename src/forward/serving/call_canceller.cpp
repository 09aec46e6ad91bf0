#include "forward/serving/call_canceller.h"

#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace radishstep::forward {

namespace asio = boost::asio;

std::shared_ptr<call_canceller> call_canceller::start(const asio::any_io_executor& executor, http::reply& caller,
                                                      time_point deadline)
{
    auto canceller = std::make_shared<call_canceller>(executor, deadline);
    const std::weak_ptr<call_canceller> weak_self{canceller};
    caller.on_caller_disconnected([weak_self] {
        if (const auto self = weak_self.lock()) {
            self->has_disconnected = true;
            self->cancel_call();
        }
    });
    canceller->deadline_timer.expires_at(deadline);
    canceller->deadline_timer.async_wait([weak_self](const boost::system::error_code& cancelled) {
        if (const auto self = weak_self.lock(); self && !cancelled)
            self->cancel_call();
    });
    return canceller;
}

call_canceller::call_canceller(const asio::any_io_executor& executor, time_point deadline)
    : deadline_timer(executor), wait_timer(executor), request_deadline(deadline)
{
}

std::shared_ptr<http::call_abort> call_canceller::begin_call()
{
    this->running_call = std::make_shared<http::call_abort>();
    if (this->has_disconnected)
        this->running_call->abort();
    return this->running_call;
}

void call_canceller::resume_call(std::shared_ptr<http::call_abort> call)
{
    this->running_call = std::move(call);
    if (this->has_disconnected)
        this->running_call->abort();
}

void call_canceller::stop()
{
    this->deadline_timer.cancel();
    this->running_call = nullptr;
}

void call_canceller::expire()
{
    this->request_deadline = std::min(this->request_deadline, runtime_clock::now());
    this->cancel_call();
}

milliseconds call_canceller::time_left() const
{
    const auto remaining = std::chrono::duration_cast<milliseconds>(this->request_deadline - runtime_clock::now());
    return std::max(remaining, milliseconds{0});
}

asio::awaitable<void> call_canceller::wait_for(milliseconds duration)
{
    if (this->has_disconnected)
        co_return;
    this->wait_timer.expires_after(std::min(duration, this->time_left()));
    boost::system::error_code ignored;
    co_await this->wait_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

void call_canceller::cancel_call()
{
    this->wait_timer.cancel();
    if (this->running_call)
        this->running_call->abort();
}

} // namespace radishstep::forward
