#pragma once

#include <compare>

#include "base/runtime_clock.h"
#include "forward/queue/lateness.h"

namespace radishstep::forward {

/// Position of a waiting request among those of its service, on this host and on others; smaller ranks are served
/// first. The priority decides before the lateness: an urgent route often has the shorter latency objective, so its
/// requests are late first and would otherwise wait behind all routine ones that are still on time.
struct queue_rank
{
    /// 0 is the most urgent.
    int priority = 0;
    lateness late = lateness::on_time;
    time_point since;

    auto operator<=>(const queue_rank&) const = default;
};

} // namespace radishstep::forward
