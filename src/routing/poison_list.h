#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep {

/// How many endpoints stopped while they ran a prompt.
struct poison_strike
{
    std::uint64_t fingerprint = 0;
    int deaths = 0;

    bool operator==(const poison_strike&) const = default;
};

/// Remembers the prompts under which endpoints died. A prompt with one death is a suspect and runs
/// under restrictions; with two it is refused. Entries expire.
class poison_list
{
public:
    static constexpr int deaths_to_refuse = 2;
    static constexpr std::chrono::minutes memory{30};
    static constexpr std::size_t max_entries = 10'000;

    /// Counts one more death; returns the deaths so far.
    int strike(std::uint64_t fingerprint, time_point now);

    /// Takes a count from elsewhere; the higher one stands.
    void merge(const poison_strike& strike, time_point now);

    /// Forgets a prompt that ran to its end.
    void clear(std::uint64_t fingerprint);

    /// Returns the deaths under a prompt.
    int deaths(std::uint64_t fingerprint, time_point now) const;

    /// Returns all entries that have not expired.
    std::vector<poison_strike> entries(time_point now) const;

private:
    struct entry
    {
        int deaths = 0;
        time_point last;
    };

    void drop_expired(time_point now);

    std::map<std::uint64_t, entry> strikes;
};

} // namespace radishstep
