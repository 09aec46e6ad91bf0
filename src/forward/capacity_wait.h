#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "forward/plain_forwarder.h"

namespace radishstep::forward {

/// How long a request may wait for a place, and from when on it is in a hurry or can no longer meet its
/// objective.
struct wait_deadlines
{
    time_point hurried_from;
    time_point late_from;
    time_point give_up;

    bool operator==(const wait_deadlines&) const = default;

    /// Returns how late the request is at `now`.
    lateness at(time_point now) const;
};

/// Returns the bounds of a request that needs `serving_time` once it has its place, and waits at most
/// `longest_objectives` times its objective.
wait_deadlines compute_wait_deadlines(const active_request& active, milliseconds serving_time, double longest_objectives);

/// Returns the bounds of a stream that was begun: it cannot be refused any more, so it waits until its time is over.
wait_deadlines extend_for_started_stream(wait_deadlines before, time_point limit);

/// Looks for a place as the first in line; returns why there is none, or nothing once it has found one.
using endpoint_selector = std::function<std::optional<selection_failure>(const selection_context& search)>;

/// Waits in the service's line until `find` has found a place. Returns why there is none at the end.
boost::asio::awaitable<std::optional<selection_failure>> wait_for_capacity(forward_context& context, active_request active,
                                                               const excluded_endpoints& avoided, wait_deadlines bounds,
                                                               endpoint_selector find);

/// Returns the refusal for a request that got no place.
error to_error(selection_failure cause);

} // namespace radishstep::forward
