#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/runtime_clock.h"
#include "forward/queue/queue_rank.h"

namespace radishstep::forward {

/// Priority queue of the waiting requests of one service, ordered by priority, then by lateness, then by arrival. Among
/// requests of one priority the late ones go last, since waiting a little longer makes no difference to them. Requests
/// at risk go behind those that are on time: in FIFO order, every request would wait at a load peak until it can just
/// meet its latency objective, and most would miss it.
class request_queue
{
public:
    /// A queued request; smaller entries are served first.
    struct queue_entry
    {
        queue_rank rank;
        std::uint64_t sequence_number = 0;

        auto operator<=>(const queue_entry&) const = default;
    };

    /// How many requests at the front may select endpoints. Those behind them would find less capacity, and their
    /// attempts would waste CPU time that is scarce at a load peak.
    static constexpr std::size_t max_selecting_requests = 2;

    /// Adds a request; priority 0 is the most urgent. Returns its entry.
    queue_entry enqueue(int priority, time_point now);

    /// Requeues a request among those of its new lateness. Returns its new entry.
    queue_entry update_lateness(const queue_entry& entry, lateness new_lateness);

    /// Removes a request, served or not.
    void remove(const queue_entry& entry);

    /// Returns how many requests are ahead of `entry`.
    std::size_t count_ahead(const queue_entry& entry) const;

    /// Returns whether `entry` is close enough to the front to select endpoints.
    bool may_select(const queue_entry& entry) const { return this->count_ahead(entry) < max_selecting_requests; }

    /// Returns the number of queued requests.
    std::size_t size() const { return this->entries.size(); }

    /// Returns the first request, or nothing if the queue is empty.
    std::optional<queue_entry> front() const;

private:
    std::set<queue_entry> entries;
    std::uint64_t next_sequence_number = 0;
};

} // namespace radishstep::forward
