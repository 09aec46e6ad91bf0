#include "forward/suspects/recent_starts.h"

#include "base/hash.h"

namespace radishstep::forward {

void recent_starts::record(std::string_view fingerprint, time_point now)
{
    const std::uint64_t hash = hash64(fingerprint);
    this->slots[hash % capacity] = {hash, now};
}

std::optional<time_point> recent_starts::last_start(std::string_view fingerprint) const
{
    const std::uint64_t hash = hash64(fingerprint);
    const slot& found = this->slots[hash % capacity];
    if (found.hash != hash)
        return std::nullopt;
    return found.started_at;
}

} // namespace radishstep::forward
