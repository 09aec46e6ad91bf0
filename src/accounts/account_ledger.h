#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "accounts/account_activity.h"
#include "accounts/account_table.h"
#include "accounts/fleet_allowance.h"

namespace radishstep::accounts {

/// Identifies an account between hosts, whatever the order of accounts in their versions of the configuration.
using account_id = std::int32_t;

/// Returns the id of the account with this name.
account_id to_account_id(const std::string& name);

/// What one host has spent of an account's quota in a period of use, which begins when the host first spends something
/// after a while.
struct account_spending
{
    account_id account = 0;
    std::int64_t units = 0;
    time_point since;

    bool operator==(const account_spending&) const = default;
};

/// What an account may still spend, for logs.
struct account_balance
{
    double left = 0;
    double recent_per_s = 0;
    double usual_per_s = 0;
    fleet_reach reach;

    bool operator==(const account_balance&) const = default;
};

/// This host's view of what the client accounts spend on all hosts: their quotas, and which of them has a surge. Reads
/// no clock and owns no socket.
class account_ledger
{
public:
    /// A period of use ends when a host has spent nothing for this long. Until then it is reported in full, so that a
    /// lost report is made up for.
    static constexpr milliseconds period_end{10'000};
    /// Starts of periods that differ by less are the same one: they travel as ages.
    static constexpr milliseconds period_tolerance{500};

    /// Applies the accounts of a new configuration. Balances of accounts that stay are kept.
    void configure(const account_table& table, time_point now);

    /// Sets the part of the fleet that this host counts on.
    void set_reach(const fleet_reach& new_reach, time_point now);

    /// Spends units of the account; returns false if its quota is used up.
    bool try_spend(const std::string& name, double units, time_point now);

    /// Gives back the units of a request that was refused.
    void refund(const std::string& name, double units, time_point now);

    /// Returns when an account whose quota is used up can spend again.
    milliseconds time_until_left(const std::string& name, time_point now);

    /// Returns whether the account uses so much more than usual that the others go before it.
    bool has_surge(const std::string& name, time_point now) const;

    /// Returns the periods of use in which this host has spent something since `since` and that have not ended.
    std::vector<account_spending> own_spending(time_point since, time_point now) const;

    /// Applies what another host has reported. A period that began before this host listened counts from now on only.
    void apply_peer_spending(const std::string& host, const std::vector<account_spending>& rows, time_point now);

    /// Forgets hosts that have reported nothing for a while: what they spend until they are heard again is covered by
    /// the part of the allowance that this host then doesn't count on.
    void forget_silent_hosts(time_point now);

    account_balance balance(const std::string& name, time_point now);

private:
    /// How long a host counts as heard after its last report.
    static constexpr milliseconds peer_lifetime{1'500};

    struct entry
    {
        account_quota quota;
        fleet_allowance allowance;
        account_activity activity;
        /// What this host has spent in its period of use.
        double own_units = 0;
        time_point own_since;
        time_point spent_at;
    };

    struct peer
    {
        std::map<account_id, account_spending> known;
        time_point heard_since;
        time_point reported_at;
    };

    std::map<account_id, entry> entries;
    std::map<std::string, peer> peers;
    fleet_reach reach;
};

} // namespace radishstep::accounts
