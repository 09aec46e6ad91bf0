#include "forward/waiting_line.h"

#include <iterator>

namespace radishstep::forward {

waiting_line::ticket waiting_line::join(int priority, time_point now)
{
    return *this->tickets.insert(ticket{lateness::fresh, priority, now, this->next++}).first;
}

waiting_line::ticket waiting_line::fall_back(const ticket& place, lateness next)
{
    this->tickets.erase(place);
    return *this->tickets.insert(ticket{next, place.priority, place.since, place.number}).first;
}

void waiting_line::leave(const ticket& place)
{
    this->tickets.erase(place);
}

std::optional<waiting_line::ticket> waiting_line::first() const
{
    if (this->tickets.empty())
        return std::nullopt;
    return *this->tickets.begin();
}

std::size_t waiting_line::before(const ticket& place) const
{
    return static_cast<std::size_t>(std::distance(this->tickets.begin(), this->tickets.lower_bound(place)));
}

} // namespace radishstep::forward
