#include "forward/request_queue.h"

#include <iterator>

namespace radishstep::forward {

request_queue::queue_entry request_queue::join(int priority, time_point now)
{
    return *this->tickets.insert(queue_entry{lateness::on_time, priority, now, this->next++}).first;
}

request_queue::queue_entry request_queue::fall_back(const queue_entry& place, lateness next)
{
    this->tickets.erase(place);
    return *this->tickets.insert(queue_entry{next, place.priority, place.since, place.number}).first;
}

void request_queue::leave(const queue_entry& place)
{
    this->tickets.erase(place);
}

std::optional<request_queue::queue_entry> request_queue::first() const
{
    if (this->tickets.empty())
        return std::nullopt;
    return *this->tickets.begin();
}

std::size_t request_queue::before(const queue_entry& place) const
{
    return static_cast<std::size_t>(std::distance(this->tickets.begin(), this->tickets.lower_bound(place)));
}

} // namespace radishstep::forward
