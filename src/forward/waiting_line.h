#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace radishstep::forward {

/// The order in which requests of one service get places: the more urgent first, then the earlier.
class waiting_line
{
public:
    /// A place in the line; smaller ones are served first.
    using ticket = std::pair<int, std::uint64_t>;

    /// Joins the line; priority 0 is the most urgent.
    ticket join(int priority);

    /// Leaves the line, served or not.
    void leave(const ticket& place);

    /// Returns true when nobody stands before `place`.
    bool is_first(const ticket& place) const;

    /// Returns how many requests wait.
    std::size_t size() const { return this->tickets.size(); }

private:
    std::set<ticket> tickets;
    std::uint64_t next = 0;
};

} // namespace radishstep::forward
