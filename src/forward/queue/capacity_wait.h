#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "forward/serving/plain_forwarder.h"

namespace radishstep::forward {

/// Deadlines of a queued request: when its latency objective is at risk, when it can no longer be met, and when the
/// wait for an endpoint is given up.
struct wait_deadlines
{
    time_point at_risk_at;
    time_point late_at;
    time_point give_up_at;
    /// How long the request is expected to take once it has an endpoint. It is not started later than this before its
    /// host stops.
    milliseconds serving_time{0};
    /// A stream that has started waits for endpoints that pause; other requests are refused instead.
    bool has_stream_started = false;

    bool operator==(const wait_deadlines&) const = default;

    /// Returns the lateness of the request at `now`.
    lateness lateness_at(time_point now) const;
};

/// Returns the deadlines of a request that takes `serving_time` once it has an endpoint and waits for at most
/// `max_wait_factor` times its latency objective.
wait_deadlines compute_wait_deadlines(const active_request& active, milliseconds serving_time, double max_wait_factor);

/// Returns the deadlines of a stream that has started: it can no longer be refused, so it waits until
/// `give_up_at`.
wait_deadlines extend_for_started_stream(wait_deadlines deadlines, time_point give_up_at);

/// Returns whether a queued request may try to select endpoints now: it must be near the front of its queue, and a late
/// request waits while the first request of any host can still meet its latency objective and is as urgent. Otherwise
/// small late requests could use up freed capacity before there is enough of it for a larger request.
bool may_select_now(const std::string& service, const request_queue& queue, const request_queue::queue_entry& entry,
                    const fleet_load& load, time_point now);

/// Tries to select endpoints; returns why there are none, or nothing on success.
using endpoint_selector = std::function<std::optional<selection_failure>(const selection_context& selection)>;

/// Waits in the service's queue until `select` succeeds, or until `is_needed` returns false. Returns the last failure
/// if no endpoint was selected.
boost::asio::awaitable<std::optional<selection_failure>> wait_for_capacity(
    forward_context& context, active_request active, const excluded_endpoints& excluded, wait_deadlines deadlines,
    endpoint_selector select, std::function<bool()> is_needed = [] { return true; });

/// Returns the error for a request that got no endpoint.
error to_error(selection_failure cause);

} // namespace radishstep::forward
