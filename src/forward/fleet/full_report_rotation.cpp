#include "forward/fleet/full_report_rotation.h"

#include <algorithm>

namespace radishstep::forward {

std::set<std::string> full_report_rotation::choose(const std::vector<std::string>& peers, std::size_t report_bytes,
                                                   time_point now)
{
    const std::set<std::string> known{peers.begin(), peers.end()};
    std::erase_if(this->last_full_at, [&known](const auto& entry) { return !known.contains(entry.first); });
    std::vector<std::string> waiting = peers;
    std::ranges::stable_sort(waiting, {}, [this](const std::string& host) { return this->last_full_at[host]; });
    const std::size_t affordable = max_round_bytes / std::max<std::size_t>(report_bytes, 1);
    waiting.resize(std::clamp<std::size_t>(affordable, std::min<std::size_t>(1, waiting.size()), waiting.size()));
    for (const std::string& host : waiting)
        this->last_full_at[host] = now;
    return {waiting.begin(), waiting.end()};
}

} // namespace radishstep::forward
