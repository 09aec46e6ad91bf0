#pragma once

namespace radishstep::forward {

/// What a waiting request has left of its objective.
enum class lateness {
    on_time,
    /// More than half of the time that it may wait is gone.
    at_risk,
    /// It can no longer be answered within its objective.
    late,
};

} // namespace radishstep::forward
