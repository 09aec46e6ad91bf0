#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Chooses the hosts that get a full load report in each round; the others get the changes only. A short report goes to
/// all of them. A long one, such as that of the leader while hundreds of engines change their phase, would go out once
/// per host and round: it goes to some of them in turn, so that the bytes of a round have a bound.
class full_report_rotation
{
public:
    /// Bytes of the full reports of one round. Reports of 1,000 bytes to 300 hosts stay below it.
    static constexpr std::size_t max_round_bytes = 300'000;

    /// Returns the hosts among `peers` that get a full report of `report_bytes` now: at least one, those first that
    /// have waited longest for one or never got any.
    std::set<std::string> choose(const std::vector<std::string>& peers, std::size_t report_bytes, time_point now);

private:
    std::map<std::string, time_point> last_full_at;
};

} // namespace radishstep::forward
