#pragma once

namespace radishstep::forward {

/// Urgency of a queued request by the time left until its latency objective.
enum class lateness {
    on_time,
    /// More than half of the allowed waiting time has passed.
    at_risk,
    /// The latency objective can no longer be met.
    late,
};

} // namespace radishstep::forward
