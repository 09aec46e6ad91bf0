#include "forward/waiting_line.h"

#include <algorithm>

namespace radishstep::forward {

waiting_line::ticket waiting_line::join(int priority)
{
    return *this->tickets.insert(ticket{false, priority, this->next++}).first;
}

waiting_line::ticket waiting_line::fall_back(const ticket& place)
{
    this->tickets.erase(place);
    return *this->tickets.insert(ticket{true, place.priority, place.number}).first;
}

void waiting_line::leave(const ticket& place)
{
    this->tickets.erase(place);
}

std::size_t waiting_line::on_time() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->tickets, [](const ticket& place) { return !place.is_late; }));
}

bool waiting_line::is_first(const ticket& place) const
{
    return !this->tickets.empty() && *this->tickets.begin() == place;
}

} // namespace radishstep::forward
