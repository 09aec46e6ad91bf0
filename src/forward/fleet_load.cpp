#include "forward/fleet_load.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace radishstep::forward {

endpoint_load& endpoint_load::operator+=(const endpoint_load& other)
{
    this->calls += other.calls;
    this->tokens += other.tokens;
    this->pending_prefill_tokens += other.pending_prefill_tokens;
    return *this;
}

endpoint_load& endpoint_load::operator-=(const endpoint_load& other)
{
    this->calls -= other.calls;
    this->tokens -= other.tokens;
    this->pending_prefill_tokens -= other.pending_prefill_tokens;
    return *this;
}

load_table changed_loads(const load_table& told, const load_table& now)
{
    load_table changed;
    for (const auto& [incarnation, work] : now) {
        const auto found = told.find(incarnation);
        const endpoint_load before = found == told.end() ? endpoint_load{} : found->second;
        if (work.calls != before.calls || work.pending_prefill_tokens != before.pending_prefill_tokens ||
            std::abs(work.tokens - before.tokens) >= told_growth)
            changed.emplace(incarnation, work);
    }
    for (const auto& [incarnation, work] : told) {
        if (!now.contains(incarnation))
            changed.emplace(incarnation, endpoint_load{});
    }
    return changed;
}

void fleet_load::begin(const std::string& incarnation, endpoint_load work)
{
    this->own_loads[incarnation] += work;
    this->add(incarnation, work);
}

void fleet_load::end(const std::string& incarnation, endpoint_load work)
{
    endpoint_load& left = this->own_loads[incarnation];
    left -= work;
    if (left == endpoint_load{})
        this->own_loads.erase(incarnation);
    this->add(incarnation, endpoint_load{} -= work);
}

void fleet_load::add_tokens(const std::string& incarnation, std::int64_t tokens)
{
    const auto found = this->own_loads.find(incarnation);
    if (found == this->own_loads.end())
        return;
    endpoint_load more;
    more.tokens = tokens;
    found->second += more;
    this->add(incarnation, more);
}

void fleet_load::apply_peer_loads(const std::string& host, load_table loads, std::vector<queue_head> heads, time_point now)
{
    peer_word& word = this->peers[host];
    for (const auto& [incarnation, work] : word.loads)
        this->add(incarnation, endpoint_load{} -= work);
    for (const auto& [incarnation, work] : loads)
        this->add(incarnation, work);
    word = peer_word{std::move(loads), std::move(heads), now};
    this->next_silence = std::min(this->next_silence, now + peer_report_lifetime);
}

void fleet_load::apply_peer_load_changes(const std::string& host, const load_table& changed, std::vector<queue_head> heads,
                                   time_point now)
{
    this->drop_silent_peers(now);
    peer_word& word = this->peers[host];
    for (const auto& [incarnation, work] : changed) {
        endpoint_load& known = word.loads[incarnation];
        this->add(incarnation, endpoint_load{work} -= known);
        known = work;
        if (work == endpoint_load{})
            word.loads.erase(incarnation);
    }
    word.heads = std::move(heads);
    word.heard = now;
    this->next_silence = std::min(this->next_silence, now + peer_report_lifetime);
}

void fleet_load::add(const std::string& incarnation, const endpoint_load& change) const
{
    endpoint_load& sum = this->sums[incarnation];
    sum += change;
    if (sum == endpoint_load{})
        this->sums.erase(incarnation);
}

void fleet_load::drop_silent_peers(time_point now) const
{
    if (now < this->next_silence)
        return;
    this->next_silence = time_point::max();
    std::erase_if(this->peers, [&](const auto& peer) {
        const peer_word& word = peer.second;
        if (word.heard + peer_report_lifetime > now) {
            this->next_silence = std::min(this->next_silence, word.heard + peer_report_lifetime);
            return false;
        }
        for (const auto& [incarnation, work] : word.loads)
            this->add(incarnation, endpoint_load{} -= work);
        return true;
    });
}

std::size_t fleet_load::count_peer_heads_ahead(const queue_head& own, time_point now) const
{
    this->drop_silent_peers(now);
    std::size_t sum = 0;
    for (const auto& [host, word] : this->peers) {
        sum += static_cast<std::size_t>(std::ranges::count_if(word.heads, [&own](const queue_head& other) {
            const bool goes_first = other.late != own.late ? other.late < own.late : other.since < own.since;
            return other.service == own.service && goes_first;
        }));
    }
    return sum;
}

bool fleet_load::has_peer_head_on_time(const std::string& service, time_point now) const
{
    this->drop_silent_peers(now);
    return std::ranges::any_of(this->peers, [&service](const auto& peer) {
        return std::ranges::any_of(peer.second.heads, [&service](const queue_head& head) {
            return head.service == service && head.late != lateness::late;
        });
    });
}

endpoint_load fleet_load::at(const std::string& incarnation, time_point now) const
{
    this->drop_silent_peers(now);
    const auto found = this->sums.find(incarnation);
    return found == this->sums.end() ? endpoint_load{} : found->second;
}

} // namespace radishstep::forward
