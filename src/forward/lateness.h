#pragma once

namespace radishstep::forward {

/// Urgency of a queued request by the time left until its latency objective.
enum class lateness {
    fresh,
    /// More than half of the allowed waiting time has passed.
    hurried,
    /// The latency objective can no longer be met.
    late,
};

} // namespace radishstep::forward
