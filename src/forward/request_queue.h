#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "base/runtime_clock.h"
#include "forward/lateness.h"

namespace radishstep::forward {

/// The order in which requests of one service get places. Those that can still be answered within
/// their objective go first, since for the others a little more waiting changes nothing. Among those, the
/// ones that have most of their time left: were the oldest always first, all would be served at a crest
/// just when their time is over. Among equals, the more urgent and then the earlier.
class request_queue
{
public:
    /// A place in the line; smaller ones are served first.
    struct queue_entry
    {
        lateness late = lateness::on_time;
        int priority = 0;
        time_point since;
        std::uint64_t number = 0;

        auto operator<=>(const queue_entry&) const = default;
    };

    /// How many at the front look for places; the others would find less than those, and at a crest each
    /// search costs time that the host does not have.
    static constexpr std::size_t searchers = 2;

    /// Joins the line; priority 0 is the most urgent.
    queue_entry join(int priority, time_point now);

    /// Puts a request whose objective has come nearer, or is over, behind those that have more time.
    queue_entry fall_back(const queue_entry& place, lateness next);

    /// Leaves the line, served or not.
    void leave(const queue_entry& place);

    /// Returns how many requests stand before `place`.
    std::size_t before(const queue_entry& place) const;

    /// Returns whether the holder of `place` is near enough to the front to look for a place now.
    bool may_search(const queue_entry& place) const { return this->before(place) < searchers; }

    /// Returns how many requests wait.
    std::size_t size() const { return this->tickets.size(); }

    /// Returns who is first, if anybody waits.
    std::optional<queue_entry> first() const;

private:
    std::set<queue_entry> tickets;
    std::uint64_t next = 0;
};

} // namespace radishstep::forward
