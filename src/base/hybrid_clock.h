#pragma once

#include <atomic>
#include <cstdint>

namespace radishstep {

/// A hybrid logical clock: stamps follow wall time and exceed every stamp received from a peer.
/// A stamp holds milliseconds in its upper 48 bits and a counter in its lower 16.
class hybrid_clock
{
public:
    static constexpr unsigned counter_bits = 16;

    /// Returns a stamp greater than all that were returned or observed before.
    std::uint64_t next();

    /// Records a peer's stamp, so that later stamps exceed it.
    void observe(std::uint64_t stamp);

    /// Returns the wall-clock milliseconds of a stamp.
    static std::uint64_t stamp_ms(std::uint64_t stamp);

private:
    std::atomic<std::uint64_t> last_stamp{0};
};

/// Returns the hybrid clock of this process.
hybrid_clock& process_clock();

} // namespace radishstep
