#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

#include "base/runtime_clock.h"

namespace radishstep::http {

/// Limits of a memory budget.
struct memory_limits
{
    /// Memory of all holders together; 0 sets no bound.
    std::size_t bytes = 0;
    /// A holder of more than this is large. Large holders leave a quarter of the budget to the others.
    std::size_t small_bytes = 64UL * 1024;
    /// How long a holder waits for room until it is refused: a fraction of what callers wait for an answer.
    milliseconds max_wait{1'000};
    /// A holder that has transferred for this long and slower than the rate below is ended while others need room.
    milliseconds grace{1'000};
    /// Bytes a second. Callers on the slowest links send faster.
    std::size_t min_rate = 32UL * 1024;

    bool operator==(const memory_limits&) const = default;
};

/// Whether a holder may have more memory: now, perhaps later, or not at all.
enum class memory_verdict { granted, wait, refused };

/// Shares the memory of a process among the connections that hold parts of requests and answers. Decides which of them
/// may read on, which are refused, and which are ended because they move too little while others need the room. Not
/// thread-safe.
class memory_budget
{
public:
    using holder_id = std::uint64_t;

    explicit memory_budget(memory_limits limits);

    /// Adds a holder of no memory. `on_end` is called at most once, when the holder has to give its memory back.
    holder_id add(std::function<void()> on_end);

    /// Removes a holder and what it holds.
    void remove(holder_id id);

    /// Asks for the memory of a holder to become `bytes` in all; never refused to a holder that needs no more than it
    /// has. After `wait` the holder asks again soon; after `refused` it has to give its memory back.
    memory_verdict request(holder_id id, std::size_t bytes, time_point now);

    /// Sets the memory of a holder to `bytes` without asking; returns whether that is within the budget.
    bool hold(holder_id id, std::size_t bytes, time_point now);

    /// Starts or ends a transfer whose speed counts while others need room.
    void start_transfer(holder_id id, time_point now);
    void end_transfer(holder_id id);

    /// Counts bytes of the current transfer.
    void record_progress(holder_id id, std::size_t bytes);

    /// Returns the memory of all holders, in bytes.
    std::size_t held_bytes() const { return this->total; }

private:
    struct holder
    {
        std::function<void()> on_end;
        std::size_t bytes = 0;
        std::size_t transferred = 0;
        std::optional<time_point> transfer_start;
        std::optional<time_point> waiting_since;
        bool is_ended = false;
    };

    bool has_room(const holder& asking, std::size_t bytes) const;
    void set_bytes(holder& changed, std::size_t bytes);
    void end_slowest(holder_id asking, time_point now);
    double bytes_per_second(const holder& moving, time_point now) const;

    memory_limits limits;
    std::map<holder_id, holder> holders;
    holder_id last_id = 0;
    std::size_t total = 0;
    /// Part of the total whose holders were ended and give it back soon.
    std::size_t ending = 0;
};

} // namespace radishstep::http
