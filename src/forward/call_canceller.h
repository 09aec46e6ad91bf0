#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "base/runtime_clock.h"
#include "http/client.h"
#include "http/server.h"

namespace radishstep::forward {

/// Ends the running call of a request when its caller leaves or its time is over.
class call_canceller : public std::enable_shared_from_this<call_canceller>
{
public:
    /// Returns a watch over a request of `caller` that may take until `limit`.
    static std::shared_ptr<call_canceller> start(const boost::asio::any_io_executor& executor, http::reply& caller,
                                             time_point limit);

    call_canceller(const boost::asio::any_io_executor& executor, time_point limit);

    /// Returns the handle to give to the next call.
    std::shared_ptr<http::call_abort> next_call();

    /// Ends the watch.
    void stop();

    /// Returns true once the caller has closed its connection.
    bool is_caller_disconnected() const { return this->gone; }

    /// Returns the time that is left, at least 0.
    milliseconds time_left() const;

    /// Returns when the time is over.
    time_point limit() const { return this->until; }

    /// Waits until the caller leaves, the time is over, or `span` has passed.
    boost::asio::awaitable<void> wait_for(milliseconds span);

private:
    void end_call();

    timer limit_timer;
    timer pause_timer;
    time_point until;
    std::shared_ptr<http::call_abort> running;
    bool gone = false;
};

} // namespace radishstep::forward
