#include "accounts/account_ledger.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "base/hash.h"

namespace radishstep::accounts {

account_id to_account_id(const std::string& name)
{
    return static_cast<account_id>(hash64(name));
}

void account_ledger::configure(const account_table& table, time_point now)
{
    std::set<account_id> kept;
    for (const client_account& account : table.accounts()) {
        const account_id id = to_account_id(account.name);
        kept.insert(id);
        entry& known = this->entries
                           .try_emplace(id, account.quota, fleet_allowance{now}, account_activity{now}, 0.0,
                                        time_point{}, time_point{})
                           .first->second;
        known.quota = account.quota;
        known.allowance.configure(account.quota, this->reach, now);
    }
    std::erase_if(this->entries, [&kept](const auto& item) { return !kept.contains(item.first); });
}

void account_ledger::set_reach(const fleet_reach& new_reach, time_point now)
{
    if (this->reach == new_reach)
        return;
    this->reach = new_reach;
    for (auto& [id, known] : this->entries)
        known.allowance.configure(known.quota, this->reach, now);
}

bool account_ledger::try_spend(const std::string& name, double units, time_point now)
{
    const auto found = this->entries.find(to_account_id(name));
    if (found == this->entries.end())
        return true;
    entry& known = found->second;
    if (!known.allowance.try_spend(units, now))
        return false;
    known.activity.record(units, now);
    if (known.spent_at == time_point{} || known.spent_at + period_end < now) {
        known.own_units = 0;
        known.own_since = now;
    }
    known.own_units += units;
    known.spent_at = now;
    return true;
}

void account_ledger::refund(const std::string& name, double units, time_point now)
{
    const auto found = this->entries.find(to_account_id(name));
    if (found == this->entries.end())
        return;
    found->second.allowance.refund(units, now);
    found->second.own_units -= units;
    found->second.spent_at = now;
}

milliseconds account_ledger::time_until_left(const std::string& name, time_point now)
{
    const auto found = this->entries.find(to_account_id(name));
    return found == this->entries.end() ? milliseconds{0} : found->second.allowance.time_until_left(now);
}

bool account_ledger::has_surge(const std::string& name, time_point now) const
{
    const auto found = this->entries.find(to_account_id(name));
    if (found == this->entries.end())
        return false;
    double all_per_s = 0;
    for (const auto& [id, known] : this->entries)
        all_per_s += known.activity.recent_per_s(now);
    return found->second.activity.has_surge(all_per_s / static_cast<double>(this->entries.size()), now);
}

std::vector<account_spending> account_ledger::own_spending(time_point since, time_point now) const
{
    std::vector<account_spending> rows;
    for (const auto& [id, known] : this->entries) {
        if (known.spent_at >= std::max(since, now - period_end) && known.spent_at != time_point{})
            rows.push_back({id, std::llround(known.own_units), known.own_since});
    }
    return rows;
}

void account_ledger::apply_peer_spending(const std::string& host, const std::vector<account_spending>& rows,
                                         time_point now)
{
    peer& reporting = this->peers.try_emplace(host, peer{{}, now, now}).first->second;
    reporting.reported_at = now;
    for (const account_spending& row : rows) {
        const auto spender = this->entries.find(row.account);
        if (spender == this->entries.end())
            continue;
        const auto [known, is_first] = reporting.known.try_emplace(row.account, row);
        std::int64_t new_units = row.units - known->second.units;
        const bool is_new_period =
            is_first ? reporting.heard_since <= row.since : known->second.since + period_tolerance < row.since;
        if (is_new_period)
            new_units = row.units;
        known->second = row;
        spender->second.allowance.record_peer_spending(static_cast<double>(new_units), now);
        spender->second.activity.record(static_cast<double>(new_units), now);
    }
}

void account_ledger::forget_silent_hosts(time_point now)
{
    std::erase_if(this->peers, [now](const auto& item) { return item.second.reported_at + peer_lifetime < now; });
}

account_balance account_ledger::balance(const std::string& name, time_point now)
{
    const auto found = this->entries.find(to_account_id(name));
    if (found == this->entries.end())
        return {};
    entry& known = found->second;
    return {known.allowance.left(now), known.activity.recent_per_s(now), known.activity.usual_per_s(now), this->reach};
}

} // namespace radishstep::accounts
