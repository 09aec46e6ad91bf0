#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "forward/plain_forward.h"

namespace radishstep::forward {

/// Deadlines of a queued request: when its latency objective is at risk, when it can no longer be met, and when the
/// request is refused.
struct wait_bounds
{
    time_point at_risk_at;
    time_point late_at;
    time_point give_up_at;

    bool operator==(const wait_bounds&) const = default;

    /// Returns the lateness of the request at `now`.
    lateness lateness_at(time_point now) const;
};

/// Returns the deadlines of a request that takes `serving_time` once it has an endpoint and waits for at most
/// `max_objectives` times its latency objective.
wait_bounds bounds_of(const request_in_hand& active, milliseconds serving_time, double max_objectives);

/// Returns the deadlines of a stream that has started: it can no longer be refused, so it waits until `limit`.
wait_bounds bounds_of_begun(wait_bounds bounds, time_point limit);

/// Tries to select endpoints; returns why there are none, or nothing on success.
using place_finder = std::function<std::optional<no_place>(const place_search& search)>;

/// Waits in the service's queue until `find` succeeds. Returns the last failure if it did not.
boost::asio::awaitable<std::optional<no_place>> wait_for_place(forward_context& context, request_in_hand active,
                                                               const avoided_endpoints& avoided, wait_bounds bounds,
                                                               place_finder find);

/// Returns the error for a request that got no endpoint.
error reason_of(no_place cause);

} // namespace radishstep::forward
