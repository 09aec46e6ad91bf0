#pragma once

#include <optional>

#include "base/error.h"
#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Connect timeout: a few round trips within the region. An endpoint that is down or unreachable may never answer,
/// and another one is tried instead.
constexpr milliseconds connect_timeout{120};

/// A request with less time left than this is not sent, since no response could arrive in time.
constexpr milliseconds min_forward_time{20};

/// Maximum number of endpoints to which a request is sent while none of them runs it.
constexpr int max_sends = 4;

/// HTTP statuses from this one on count as endpoint failures.
constexpr unsigned min_failure_status = 500;

/// Returns the error to send to the caller. Statuses that mean "not run" are replaced if the request may have run.
error error_for_caller(const error& reason, bool may_have_run);

/// Returns the retry delay for a refused caller, or nothing if the request may have run. If the service was full, a
/// retry has the best chance after the load peak, so the delay covers one as far as the time `remaining` allows.
std::optional<milliseconds> retry_after_delay(error_kind reason, bool may_have_run, milliseconds remaining);

} // namespace radishstep::forward
