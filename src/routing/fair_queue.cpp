#include "routing/fair_queue.h"

#include <algorithm>

namespace radishstep {

namespace {

/// How many requests of one client are looked at before the next client's turn.
constexpr std::size_t lookahead_per_client = 4;

/// How many clients are looked at before the queue waits for other endpoints.
constexpr std::size_t lookahead_clients = 16;

double to_seconds(runtime_clock::duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::size_t index_of(client_priority priority)
{
    return static_cast<std::size_t>(priority);
}

} // namespace

void fair_queue::set_shares(std::map<std::string, int> next)
{
    this->shares = std::move(next);
}

bool fair_queue::add(queued_request entry)
{
    const permit_key key = entry.ask.key;
    if (this->places.contains(key))
        return false;
    const std::string client = entry.ask.client;
    const place at{entry.ask.priority, entry.give_up_at, key};
    client_line& line = this->lines[client];
    if (line.entries.empty())
        line.virtual_time = std::max(line.virtual_time, this->virtual_now);
    else
        this->turns.erase(turn_of(client, line));
    queue_ahead& total = line.totals[index_of(at.priority)];
    ++total.count;
    total.work += entry.work;
    line.entries.emplace(at, std::move(entry));
    this->turns.insert(turn_of(client, line));
    this->expiries.emplace(at.give_up_at, key);
    this->places.emplace(key, std::pair{client, at});
    return true;
}

bool fair_queue::remove(const permit_key& key)
{
    const auto found = this->places.find(key);
    if (found == this->places.end())
        return false;
    const auto [client, at] = found->second;
    this->erase(client, at);
    return true;
}

void fair_queue::remove_holder(const std::string& holder)
{
    std::vector<permit_key> keys;
    for (const auto& [key, where] : this->places) {
        const queued_request& entry = this->lines.at(where.first).entries.at(where.second);
        if (entry.ask.holder == holder)
            keys.push_back(key);
    }
    for (const permit_key& key : keys)
        this->remove(key);
}

std::vector<queued_request> fair_queue::take_expired(time_point now)
{
    std::vector<queued_request> expired;
    while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
        const permit_key key = this->expiries.begin()->second;
        const auto [client, at] = this->places.at(key);
        expired.push_back(this->lines.at(client).entries.at(at));
        this->erase(client, at);
    }
    return expired;
}

std::optional<queued_request> fair_queue::take_first(const std::function<bool(const queued_request&)>& fits)
{
    std::size_t clients_looked_at = 0;
    for (const auto& [priority, virtual_time, client] : this->turns) {
        if (clients_looked_at++ == lookahead_clients)
            break;
        client_line& line = this->lines.at(client);
        std::size_t looked_at = 0;
        for (const auto& [at, entry] : line.entries) {
            if (looked_at++ == lookahead_per_client)
                break;
            if (!fits(entry))
                continue;
            queued_request taken = entry;
            const std::string name = client;
            const place where = at;
            this->virtual_now = std::max(this->virtual_now, line.virtual_time);
            this->turns.erase(turn_of(name, line));
            line.virtual_time += to_seconds(taken.work) / this->share_of(name);
            this->turns.insert(turn_of(name, line));
            this->erase(name, where);
            return taken;
        }
    }
    return std::nullopt;
}

queue_ahead fair_queue::ahead_of(const std::string& client, client_priority priority) const
{
    const auto own_line = this->lines.find(client);
    const queue_ahead own = own_line == this->lines.end() ? queue_ahead{} : total_up_to(own_line->second, priority);
    queue_ahead ahead = own;
    for (const auto& [order, virtual_time, name] : this->turns) {
        if (name == client)
            continue;
        // While the client's own line is served, another one gets as much as its share allows.
        const queue_ahead other = total_up_to(this->lines.at(name), priority);
        if (other.count == 0)
            continue;
        const double ratio = this->share_of(name) / this->share_of(client);
        const double fair_count = static_cast<double>(own.count + 1) * ratio;
        const double part = std::min(1.0, fair_count / static_cast<double>(other.count));
        ahead.count += static_cast<std::size_t>(part * static_cast<double>(other.count));
        ahead.work += std::chrono::duration_cast<runtime_clock::duration>(part * other.work);
    }
    return ahead;
}

std::size_t fair_queue::size() const
{
    return this->places.size();
}

fair_queue::turn fair_queue::turn_of(const std::string& client, const client_line& line)
{
    return {line.entries.begin()->first.priority, line.virtual_time, client};
}

queue_ahead fair_queue::total_up_to(const client_line& line, client_priority priority)
{
    queue_ahead total;
    for (std::size_t i = 0; i <= index_of(priority); ++i) {
        total.count += line.totals[i].count;
        total.work += line.totals[i].work;
    }
    return total;
}

double fair_queue::share_of(const std::string& client) const
{
    const auto found = this->shares.find(client);
    return found == this->shares.end() ? 1.0 : static_cast<double>(found->second);
}

void fair_queue::erase(const std::string& client, const place& at)
{
    client_line& line = this->lines.at(client);
    this->turns.erase(turn_of(client, line));
    const auto found = line.entries.find(at);
    queue_ahead& total = line.totals[index_of(at.priority)];
    --total.count;
    total.work -= found->second.work;
    line.entries.erase(found);
    if (!line.entries.empty())
        this->turns.insert(turn_of(client, line));
    this->expiries.erase({at.give_up_at, at.key});
    this->places.erase(permit_key{at.key});
}

} // namespace radishstep
