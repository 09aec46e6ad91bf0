#pragma once

#include <optional>

#include "base/error.h"
#include "base/runtime_clock.h"

namespace radishstep::forward {

/// How long an endpoint may take to accept a connection: some round trips within the region. One that
/// is down or cut off never answers, and another endpoint is tried in its place.
constexpr milliseconds connect_time{120};

/// A request with less time than this is not sent: an answer could not come back.
constexpr milliseconds min_forward_time{20};

/// How many endpoints are asked for one request that none of them runs.
constexpr int max_sends = 4;

/// Statuses from here on are failures of the endpoint.
constexpr unsigned min_failure_status = 500;

/// Returns the reason that a caller is told: one that promises "not run" only when nothing may have run.
error error_for_caller(const error& reason, bool may_have_run);

/// Returns when a caller that is refused for `reason` may come back, or nothing when the request may have run.
/// One that found the service full has the best chance after the crest, so it comes back as late as it can.
std::optional<milliseconds> retry_after_delay(error_kind reason, bool may_have_run, milliseconds left);

} // namespace radishstep::forward
