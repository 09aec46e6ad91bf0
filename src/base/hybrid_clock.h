#pragma once

#include <atomic>
#include <cstdint>

namespace radishstep {

/// A hybrid logical clock: stamps follow wall time and never run behind a stamp seen from a peer.
/// A stamp holds milliseconds in its upper 48 bits and a counter in its lower 16.
class hybrid_clock
{
public:
    static constexpr unsigned counter_bits = 16;

    /// Returns a stamp greater than all given or seen before.
    std::uint64_t next();

    /// Takes note of a peer's stamp.
    void observe(std::uint64_t stamp);

    /// Returns the wall-clock milliseconds of a stamp.
    static std::uint64_t stamp_ms(std::uint64_t stamp);

private:
    std::atomic<std::uint64_t> last{0};
};

/// Returns the clock that all modules of this process share.
hybrid_clock& process_clock();

} // namespace radishstep
