#pragma once

namespace radishstep::forward {

/// What a waiting request has left of its objective.
enum class lateness {
    fresh,
    /// More than half of the time that it may wait is gone.
    hurried,
    /// It can no longer be answered within its objective.
    late,
};

} // namespace radishstep::forward
