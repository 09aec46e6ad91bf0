#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "forward/plain_forward.h"

namespace radishstep::forward {

/// How long a request may wait for a place, and from when on it is in a hurry or can no longer meet its
/// objective.
struct wait_bounds
{
    time_point hurried_from;
    time_point late_from;
    time_point give_up;

    bool operator==(const wait_bounds&) const = default;

    /// Returns how late the request is at `now`.
    lateness at(time_point now) const;
};

/// Returns the bounds of a request that needs `serving_time` once it has its place, and waits at most
/// `longest_objectives` times its objective.
wait_bounds bounds_of(const request_in_hand& hand, milliseconds serving_time, double longest_objectives);

/// Returns the bounds of a stream that was begun: it cannot be refused any more, so it waits until its time is over.
wait_bounds bounds_of_begun(wait_bounds before, time_point limit);

/// Looks for a place as the first in line; returns why there is none, or nothing once it has found one.
using place_finder = std::function<std::optional<no_place>(const place_search& search)>;

/// Waits in the service's line until `find` has found a place. Returns why there is none at the end.
boost::asio::awaitable<std::optional<no_place>> wait_for_place(forward_context& context, request_in_hand hand,
                                                               const avoided_endpoints& avoided, wait_bounds bounds,
                                                               place_finder find);

/// Returns the refusal for a request that got no place.
error reason_of(no_place cause);

} // namespace radishstep::forward
