#include "forward/fleet_load.h"

#include <algorithm>
#include <utility>

namespace radishstep::forward {

endpoint_load& endpoint_load::operator+=(const endpoint_load& other)
{
    this->calls += other.calls;
    this->tokens += other.tokens;
    this->unread += other.unread;
    return *this;
}

endpoint_load& endpoint_load::operator-=(const endpoint_load& other)
{
    this->calls -= other.calls;
    this->tokens -= other.tokens;
    this->unread -= other.unread;
    return *this;
}

void fleet_load::begin(const std::string& incarnation, endpoint_load work)
{
    this->own_loads[incarnation] += work;
}

void fleet_load::end(const std::string& incarnation, endpoint_load work)
{
    endpoint_load& left = this->own_loads[incarnation];
    left -= work;
    if (left == endpoint_load{})
        this->own_loads.erase(incarnation);
}

void fleet_load::grow(const std::string& incarnation, std::int64_t tokens)
{
    if (const auto found = this->own_loads.find(incarnation); found != this->own_loads.end())
        found->second.tokens += tokens;
}

void fleet_load::take_peer(const std::string& host, load_table loads, std::vector<waiting_head> heads, time_point now)
{
    this->peers.insert_or_assign(host, peer_word{std::move(loads), std::move(heads), now});
}

std::size_t fleet_load::heads_before(const waiting_head& own, time_point now) const
{
    std::size_t sum = 0;
    for (const auto& [host, word] : this->peers) {
        if (word.heard + peer_memory < now)
            continue;
        sum += static_cast<std::size_t>(std::ranges::count_if(word.heads, [&own](const waiting_head& other) {
            const bool goes_first = other.is_late != own.is_late ? own.is_late : other.since < own.since;
            return other.service == own.service && goes_first;
        }));
    }
    return sum;
}

bool fleet_load::has_on_time_head(const std::string& service, time_point now) const
{
    return std::ranges::any_of(this->peers, [&](const auto& peer) {
        return peer.second.heard + peer_memory > now &&
               std::ranges::any_of(peer.second.heads, [&service](const waiting_head& head) {
                   return head.service == service && !head.is_late;
               });
    });
}

endpoint_load fleet_load::at(const std::string& incarnation, time_point now) const
{
    endpoint_load sum;
    const auto add_from = [&sum, &incarnation](const load_table& loads) {
        if (const auto found = loads.find(incarnation); found != loads.end())
            sum += found->second;
    };
    add_from(this->own_loads);
    for (const auto& [host, word] : this->peers) {
        if (word.heard + peer_memory > now)
            add_from(word.loads);
    }
    return sum;
}

} // namespace radishstep::forward
