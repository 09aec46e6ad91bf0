#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "accounts/client_account.h"
#include "base/runtime_clock.h"

namespace radishstep::accounts {

/// The part of a fleet that one host counts on: the hosts that it hears, itself included, of all hosts.
struct fleet_reach
{
    std::size_t heard = 1;
    std::size_t known = 1;

    bool operator==(const fleet_reach&) const = default;

    double fraction() const;
};

/// One host's copy of an allowance that all hosts spend together: units accrue at a rate up to a burst, and what any
/// host spends is taken off when this host learns of it. A host that hears only some of the others counts on the same
/// part of the allowance, so that the parts of a partitioned fleet don't exceed it together.
class fleet_allowance
{
public:
    /// Starts empty: what was spent before this host started is not known.
    explicit fleet_allowance(time_point now) : accrued_at(now) {}

    /// Sets the limits. What has accrued beyond a lower burst is lost.
    void configure(const account_quota& new_quota, const fleet_reach& new_reach, time_point now);

    /// Takes the units and returns true if anything is left. The last request may take more than that: what is missing
    /// has to accrue before the next one.
    bool try_spend(double units, time_point now);

    /// Gives back units of a request that was not run.
    void refund(double units, time_point now);

    /// Takes off what another host has spent.
    void record_peer_spending(double units, time_point now);

    /// Returns how long it takes until something is left.
    milliseconds time_until_left(time_point now);

    /// Returns the units that are left; negative while they are owed.
    double left(time_point now);

private:
    void accrue(time_point now);

    account_quota quota;
    fleet_reach reach;
    double level = 0;
    time_point accrued_at;
};

} // namespace radishstep::accounts
