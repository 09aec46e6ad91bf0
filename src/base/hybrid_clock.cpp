#include "base/hybrid_clock.h"

#include <algorithm>

#include "base/runtime_clock.h"

namespace radishstep {

std::uint64_t hybrid_clock::next()
{
    const std::uint64_t wall = static_cast<std::uint64_t>(wall_clock_ms()) << counter_bits;
    std::uint64_t previous = this->last_stamp.load();
    std::uint64_t stamp = 0;
    do {
        stamp = std::max(wall, previous + 1);
    } while (!this->last_stamp.compare_exchange_weak(previous, stamp));
    return stamp;
}

void hybrid_clock::observe(std::uint64_t stamp)
{
    std::uint64_t previous = this->last_stamp.load();
    while (previous < stamp && !this->last_stamp.compare_exchange_weak(previous, stamp)) {
    }
}

std::uint64_t hybrid_clock::stamp_ms(std::uint64_t stamp)
{
    return stamp >> counter_bits;
}

hybrid_clock& process_clock()
{
    static hybrid_clock clock;
    return clock;
}

} // namespace radishstep
