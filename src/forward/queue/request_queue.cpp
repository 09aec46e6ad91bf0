#include "forward/queue/request_queue.h"

#include <iterator>

namespace radishstep::forward {

request_queue::queue_entry request_queue::enqueue(int priority, time_point now)
{
    return *this->entries.insert(queue_entry{{priority, lateness::on_time, now}, this->next_sequence_number++}).first;
}

request_queue::queue_entry request_queue::update_lateness(const queue_entry& entry, lateness new_lateness)
{
    this->entries.erase(entry);
    return *this->entries
                .insert(queue_entry{{entry.rank.priority, new_lateness, entry.rank.since}, entry.sequence_number})
                .first;
}

void request_queue::remove(const queue_entry& entry)
{
    this->entries.erase(entry);
}

std::optional<request_queue::queue_entry> request_queue::front() const
{
    if (this->entries.empty())
        return std::nullopt;
    return *this->entries.begin();
}

std::size_t request_queue::count_ahead(const queue_entry& entry) const
{
    return static_cast<std::size_t>(std::distance(this->entries.begin(), this->entries.lower_bound(entry)));
}

} // namespace radishstep::forward
