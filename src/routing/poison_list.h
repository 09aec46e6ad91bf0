#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep {

/// Number of endpoints that crashed while they ran a prompt.
struct poison_strike
{
    std::uint64_t fingerprint = 0;
    int deaths = 0;

    bool operator==(const poison_strike&) const = default;
};

/// Counts endpoint crashes (deaths) by prompt. A prompt with one death is suspected: one copy of it runs at a
/// time. A prompt with `deaths_to_refuse` deaths is refused. Entries expire after `entry_lifetime`.
class poison_list
{
public:
    static constexpr int deaths_to_refuse = 2;
    static constexpr std::chrono::minutes entry_lifetime{30};
    /// Bounds the memory of the list.
    static constexpr std::size_t max_entries = 10'000;

    /// Counts one more death; returns the deaths of the prompt so far.
    int record_death(std::uint64_t fingerprint, time_point now);

    /// Merges the count of another process; the higher count wins.
    void merge(const poison_strike& strike, time_point now);

    /// Removes a suspected prompt that has run to its end. A prompt that is refused stays.
    void clear(std::uint64_t fingerprint);

    /// Returns the deaths counted for a prompt.
    int deaths(std::uint64_t fingerprint, time_point now) const;

    /// Returns all entries that have not expired.
    std::vector<poison_strike> entries(time_point now) const;

private:
    struct entry
    {
        int deaths = 0;
        time_point last_death_at;
    };

    void drop_expired(time_point now);

    std::map<std::uint64_t, entry> strikes;
};

} // namespace radishstep
