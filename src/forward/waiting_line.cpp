#include "forward/waiting_line.h"

namespace radishstep::forward {

waiting_line::ticket waiting_line::join(int priority)
{
    return *this->tickets.emplace(priority, this->next++).first;
}

void waiting_line::leave(const ticket& place)
{
    this->tickets.erase(place);
}

bool waiting_line::is_first(const ticket& place) const
{
    return !this->tickets.empty() && *this->tickets.begin() == place;
}

} // namespace radishstep::forward
