#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "base/runtime_clock.h"
#include "http/client.h"
#include "http/server.h"

namespace radishstep::forward {

/// Cancels the running call of a request when the caller disconnects or the request's deadline passes.
class call_canceller : public std::enable_shared_from_this<call_canceller>
{
public:
    /// Returns a canceller for a request of `caller` that must end by `deadline`.
    static std::shared_ptr<call_canceller> start(const boost::asio::any_io_executor& executor, http::reply& caller,
                                                 time_point deadline);

    call_canceller(const boost::asio::any_io_executor& executor, time_point deadline);

    /// Returns the abort handle for the next call, which replaces the previous one.
    std::shared_ptr<http::call_abort> begin_call();

    /// Makes an earlier call the running one again.
    void resume_call(std::shared_ptr<http::call_abort> call);

    /// Stops the deadline timer and drops the abort handle of the running call, which is not aborted.
    void stop();

    /// Ends the request now, as if its deadline had passed.
    void expire();

    /// Returns whether the deadline has passed. Calls that fail after it were cancelled by this host.
    bool has_expired() const { return runtime_clock::now() >= this->request_deadline; }

    /// Records that a part of the response has been sent, so that it can no longer be replaced.
    void record_response_start() { this->response_started = true; }
    bool has_response_started() const { return this->response_started; }

    /// Returns true once the caller has closed its connection.
    bool is_caller_disconnected() const { return this->has_disconnected; }

    /// Returns the time until the deadline, at least 0.
    milliseconds time_left() const;

    /// Returns the request's deadline.
    time_point deadline() const { return this->request_deadline; }

    /// Waits for `duration`, or less if the caller disconnects or the deadline passes first.
    boost::asio::awaitable<void> wait_for(milliseconds duration);

private:
    void cancel_call();

    timer deadline_timer;
    timer wait_timer;
    time_point request_deadline;
    std::shared_ptr<http::call_abort> running_call;
    bool has_disconnected = false;
    bool response_started = false;
};

} // namespace radishstep::forward
