#include "routing/fair_queue.h"

#include <algorithm>

namespace radishstep {

namespace {

/// Maximum number of requests of one client that are examined before the next client in order.
constexpr std::size_t max_examined_per_client = 4;

/// Maximum number of clients whose requests are examined per call of pop_first_fitting, to bound its cost.
constexpr std::size_t max_examined_clients = 16;

double to_seconds(runtime_clock::duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::size_t index_of(client_priority priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

void fair_queue::set_weights(std::map<std::string, int> client_weights)
{
    this->weights = std::move(client_weights);
}

bool fair_queue::add(queued_request entry)
{
    const permit_key key = entry.request.key;
    if (this->positions.contains(key))
        return false;
    const std::string client = entry.request.client;
    const queue_key position{entry.request.priority, entry.grant_deadline, key};
    client_queue& queue = this->client_queues[client];
    if (queue.entries.empty())
        queue.virtual_time = std::max(queue.virtual_time, this->virtual_now);
    else
        this->schedule.erase(schedule_entry_of(client, queue));
    queue_backlog& backlog = queue.backlogs[index_of(position.priority)];
    ++backlog.count;
    backlog.total_prefill_time += entry.predicted_prefill_time;
    queue.entries.emplace(position, std::move(entry));
    this->schedule.insert(schedule_entry_of(client, queue));
    this->expiries.emplace(position.grant_deadline, key);
    this->positions.emplace(key, std::pair{client, position});
    return true;
}

bool fair_queue::remove(const permit_key& key)
{
    const auto found = this->positions.find(key);
    if (found == this->positions.end())
        return false;
    const auto [client, position] = found->second;
    this->erase(client, position);
    return true;
}

void fair_queue::remove_holder(const std::string& holder)
{
    std::vector<permit_key> keys;
    for (const auto& [key, location] : this->positions) {
        const queued_request& entry = this->client_queues.at(location.first).entries.at(location.second);
        if (entry.request.holder == holder)
            keys.push_back(key);
    }
    for (const permit_key& key : keys)
        this->remove(key);
}

std::vector<queued_request> fair_queue::pop_expired(time_point now)
{
    std::vector<queued_request> expired;
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const permit_key key = this->expiries.begin()->second;
        const auto [client, position] = this->positions.at(key);
        expired.push_back(this->client_queues.at(client).entries.at(position));
        this->erase(client, position);
    }
    return expired;
}

std::optional<queued_request> fair_queue::pop_first_fitting(const std::function<bool(const queued_request&)>& fits)
{
    std::size_t examined_clients = 0;
    for (const auto& [priority, virtual_time, client] : this->schedule) {
        if (examined_clients++ == max_examined_clients)
            break;
        client_queue& queue = this->client_queues.at(client);
        std::size_t examined_requests = 0;
        for (const auto& [position, entry] : queue.entries) {
            if (examined_requests++ == max_examined_per_client)
                break;
            if (!fits(entry))
                continue;
            queued_request popped = entry;
            const std::string name = client;
            const queue_key location = position;
            this->virtual_now = std::max(this->virtual_now, queue.virtual_time);
            this->schedule.erase(schedule_entry_of(name, queue));
            queue.virtual_time += to_seconds(popped.predicted_prefill_time) / this->weight_of(name);
            this->schedule.insert(schedule_entry_of(name, queue));
            this->erase(name, location);
            return popped;
        }
    }
    return std::nullopt;
}

queue_backlog fair_queue::backlog_ahead_of(const std::string& client, client_priority priority) const
{
    const auto own_queue = this->client_queues.find(client);
    const queue_backlog own =
        own_queue == this->client_queues.end() ? queue_backlog{} : backlog_up_to(own_queue->second, priority);
    queue_backlog ahead = own;
    for (const auto& [order, virtual_time, name] : this->schedule) {
        if (name == client)
            continue;
        // While this client's requests are served, another client gets service in proportion to its weight.
        const queue_backlog other = backlog_up_to(this->client_queues.at(name), priority);
        if (other.count == 0)
            continue;
        const double ratio = this->weight_of(name) / this->weight_of(client);
        const double fair_count = static_cast<double>(own.count + 1) * ratio;
        const double served_fraction = std::min(1.0, fair_count / static_cast<double>(other.count));
        ahead.count += static_cast<std::size_t>(served_fraction * static_cast<double>(other.count));
        ahead.total_prefill_time +=
            std::chrono::duration_cast<runtime_clock::duration>(served_fraction * other.total_prefill_time);
    }
    return ahead;
}

std::size_t fair_queue::size() const
{
    return this->positions.size();
}

fair_queue::schedule_entry fair_queue::schedule_entry_of(const std::string& client, const client_queue& queue)
{
    return {queue.entries.begin()->first.priority, queue.virtual_time, client};
}

queue_backlog fair_queue::backlog_up_to(const client_queue& queue, client_priority priority)
{
    queue_backlog backlog;
    for (std::size_t i = 0; i <= index_of(priority); ++i) {
        backlog.count += queue.backlogs[i].count;
        backlog.total_prefill_time += queue.backlogs[i].total_prefill_time;
    }
    return backlog;
}

double fair_queue::weight_of(const std::string& client) const
{
    const auto found = this->weights.find(client);
    return found == this->weights.end() ? 1.0 : static_cast<double>(found->second);
}

void fair_queue::erase(const std::string& client, const queue_key& position)
{
    client_queue& queue = this->client_queues.at(client);
    this->schedule.erase(schedule_entry_of(client, queue));
    const auto found = queue.entries.find(position);
    queue_backlog& backlog = queue.backlogs[index_of(position.priority)];
    --backlog.count;
    backlog.total_prefill_time -= found->second.predicted_prefill_time;
    queue.entries.erase(found);
    if (!queue.entries.empty())
        this->schedule.insert(schedule_entry_of(client, queue));
    this->expiries.erase({position.grant_deadline, position.key});
    this->positions.erase(permit_key{position.key});
}

} // namespace radishstep
