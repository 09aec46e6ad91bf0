#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Remembers when requests were last answered, in constant memory: a newer request may displace an older one. Those
/// that come often are there nearly always.
class recent_starts
{
public:
    static constexpr std::size_t capacity = 4'096;

    recent_starts() : slots(capacity) {}

    /// Records an answer to the request with this fingerprint.
    void record(std::string_view fingerprint, time_point now);

    /// Returns when the request was last answered, or nothing if that is unknown.
    std::optional<time_point> last_start(std::string_view fingerprint) const;

private:
    struct slot
    {
        std::uint64_t hash = 0;
        time_point started_at;
    };

    std::vector<slot> slots;
};

} // namespace radishstep::forward
