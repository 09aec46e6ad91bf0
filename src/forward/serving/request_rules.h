#pragma once

#include <optional>

#include "base/error.h"
#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Connect timeout for endpoints: a few round trips within the region. Short, because an endpoint that is down or
/// unreachable may never answer and another one is tried instead.
constexpr milliseconds connect_timeout{120};

/// A request with less time left than this is not sent, since no response could arrive in time.
constexpr milliseconds min_forward_time{20};

/// Maximum number of endpoints to which a request is sent while none of them runs it.
constexpr int max_sends = 4;

/// HTTP statuses from this one on count as endpoint failures.
constexpr unsigned min_failure_status = 500;

/// Returns whether that HTTP status (408, 421, 429 or 503) tells a caller that its request has not run and never will.
bool is_refusal_status(unsigned status);

/// Returns whether an endpoint's answer with that HTTP status to a request that has run is a failure. A status that
/// denies the run is one.
bool is_failure_status(unsigned status);

/// Returns the error for a request that is not sent because endpoints crashed on it or on parts of its prompt.
error quarantine_error();

/// Returns the error to send to the caller. If the request may have run, an error whose HTTP status means that it did
/// not (408, 421, 429, 503) is replaced by outcome_unknown.
error error_for_caller(const error& reason, bool may_have_run);

/// Returns the retry delay for a refused caller, or nothing if the request may have run. If the service was full, the
/// delay is the longest duration of a load peak, since a retry after the peak has the best chance. It is limited to a
/// fraction of `remaining`, the time that the caller has left.
std::optional<milliseconds> retry_after_delay(error_kind reason, bool may_have_run, milliseconds remaining);

/// Returns the retry delay for a caller that was refused because all endpoints pause for at least `remaining_pause`.
/// `draw` is uniform in [0, 1) and spreads the callers that return. Not limited by the time that the caller has left:
/// an earlier retry is refused again.
milliseconds retry_delay_after_pause(milliseconds remaining_pause, double draw);

/// Longest remaining pause for which a request waits; a refused caller would not be back sooner.
constexpr milliseconds max_awaited_pause{250};

} // namespace radishstep::forward
