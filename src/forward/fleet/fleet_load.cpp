#include "forward/fleet/fleet_load.h"

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

load_table changed_loads(const load_table& reported, const load_table& now)
{
    load_table changed;
    for (const auto& [incarnation, work] : now) {
        const auto found = reported.find(incarnation);
        const endpoint_load before = found == reported.end() ? endpoint_load{} : found->second;
        if (work.calls != before.calls || work.pending_prefill_tokens != before.pending_prefill_tokens ||
            std::abs(work.tokens - before.tokens) >= min_reported_kv_token_change)
            changed.emplace(incarnation, work);
    }
    for (const auto& [incarnation, work] : reported) {
        if (!now.contains(incarnation))
            changed.emplace(incarnation, endpoint_load{});
    }
    return changed;
}

void fleet_load::add_work(const std::string& incarnation, endpoint_load work)
{
    this->local_table[incarnation] += work;
    this->add_to_sums(incarnation, work);
}

void fleet_load::remove_work(const std::string& incarnation, endpoint_load work)
{
    endpoint_load& remaining = this->local_table[incarnation];
    remaining -= work;
    if (remaining == endpoint_load{})
        this->local_table.erase(incarnation);
    this->add_to_sums(incarnation, endpoint_load{} -= work);
}

void fleet_load::add_tokens(const std::string& incarnation, std::int64_t tokens)
{
    const auto found = this->local_table.find(incarnation);
    if (found == this->local_table.end())
        return;
    endpoint_load growth;
    growth.tokens = tokens;
    found->second += growth;
    this->add_to_sums(incarnation, growth);
}

void fleet_load::apply_peer_loads(const std::string& host, load_table loads, std::vector<queue_head> heads,
                                  time_point now)
{
    peer_report& report = this->peers[host];
    for (const auto& [incarnation, work] : report.loads)
        this->add_to_sums(incarnation, endpoint_load{} -= work);
    for (const auto& [incarnation, work] : loads)
        this->add_to_sums(incarnation, work);
    this->count_peer_rows(report.loads, -1);
    this->count_peer_rows(loads, 1);
    report = peer_report{std::move(loads), std::move(heads), now};
    this->next_peer_expiry = std::min(this->next_peer_expiry, now + peer_report_lifetime);
}

void fleet_load::apply_peer_load_changes(const std::string& host, const load_table& changed,
                                         std::vector<queue_head> heads, time_point now)
{
    this->expire_peers(now);
    peer_report& report = this->peers[host];
    for (const auto& [incarnation, work] : changed) {
        if (!report.loads.contains(incarnation))
            this->count_peer_rows({{incarnation, work}}, 1);
        endpoint_load& known = report.loads[incarnation];
        this->add_to_sums(incarnation, endpoint_load{work} -= known);
        known = work;
        if (work == endpoint_load{}) {
            report.loads.erase(incarnation);
            this->count_peer_rows({{incarnation, work}}, -1);
        }
    }
    report.heads = std::move(heads);
    report.received_at = now;
    this->next_peer_expiry = std::min(this->next_peer_expiry, now + peer_report_lifetime);
}

void fleet_load::add_to_sums(const std::string& incarnation, const endpoint_load& change) const
{
    endpoint_load& sum = this->sums[incarnation];
    sum += change;
    if (sum == endpoint_load{})
        this->sums.erase(incarnation);
}

void fleet_load::count_peer_rows(const load_table& loads, int change) const
{
    for (const auto& [incarnation, work] : loads) {
        int& peers = this->peers_at[incarnation];
        peers += change;
        if (peers == 0)
            this->peers_at.erase(incarnation);
    }
}

void fleet_load::expire_peers(time_point now) const
{
    if (now < this->next_peer_expiry)
        return;
    this->next_peer_expiry = time_point::max();
    std::erase_if(this->peers, [&](const auto& peer) {
        const peer_report& report = peer.second;
        if (report.received_at + peer_report_lifetime > now) {
            this->next_peer_expiry = std::min(this->next_peer_expiry, report.received_at + peer_report_lifetime);
            return false;
        }
        for (const auto& [incarnation, work] : report.loads)
            this->add_to_sums(incarnation, endpoint_load{} -= work);
        this->count_peer_rows(report.loads, -1);
        return true;
    });
}

std::size_t fleet_load::count_peer_heads_ahead(const queue_head& local_head, time_point now) const
{
    this->expire_peers(now);
    std::size_t sum = 0;
    for (const auto& [host, report] : this->peers) {
        sum += static_cast<std::size_t>(std::ranges::count_if(report.heads, [&local_head](const queue_head& other) {
            return other.service == local_head.service && other.rank < local_head.rank;
        }));
    }
    return sum;
}

bool fleet_load::has_peer_head_not_late(const std::string& service, int priority, time_point now) const
{
    this->expire_peers(now);
    return std::ranges::any_of(this->peers, [&](const auto& peer) {
        return std::ranges::any_of(peer.second.heads, [&](const queue_head& head) {
            return head.service == service && head.rank.late != lateness::late && head.rank.priority <= priority;
        });
    });
}

endpoint_load fleet_load::total_at(const std::string& incarnation, time_point now) const
{
    this->expire_peers(now);
    const auto found = this->sums.find(incarnation);
    return found == this->sums.end() ? endpoint_load{} : found->second;
}

std::int64_t fleet_load::unreported_tokens_at(const std::string& incarnation, time_point now) const
{
    this->expire_peers(now);
    const auto found = this->peers_at.find(incarnation);
    return found == this->peers_at.end() ? 0 : found->second * min_reported_kv_token_change / 2;
}

} // namespace radishstep::forward
