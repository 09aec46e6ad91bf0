#include "forward/waiting_line.h"

#include <iterator>

namespace radishstep::forward {

waiting_line::ticket waiting_line::enqueue(int priority, time_point now)
{
    return *this->entries.insert(ticket{lateness::fresh, priority, now, this->next_sequence_number++}).first;
}

waiting_line::ticket waiting_line::update_lateness(const ticket& entry, lateness new_lateness)
{
    this->entries.erase(entry);
    return *this->entries.insert(ticket{new_lateness, entry.priority, entry.since, entry.sequence_number}).first;
}

void waiting_line::remove(const ticket& entry)
{
    this->entries.erase(entry);
}

std::optional<waiting_line::ticket> waiting_line::front() const
{
    if (this->entries.empty())
        return std::nullopt;
    return *this->entries.begin();
}

std::size_t waiting_line::count_ahead(const ticket& entry) const
{
    return static_cast<std::size_t>(std::distance(this->entries.begin(), this->entries.lower_bound(entry)));
}

} // namespace radishstep::forward
