#pragma once

namespace radishstep::forward {

/// Urgency of a queued request. Its allowed waiting time is its latency objective minus the time to serve it.
enum class lateness {
    /// Less than half of the allowed waiting time has passed.
    on_time,
    /// At least half of the allowed waiting time has passed.
    at_risk,
    /// The allowed waiting time has passed, so the latency objective can no longer be met.
    late,
};

} // namespace radishstep::forward
