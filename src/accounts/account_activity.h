#pragma once

#include "base/runtime_clock.h"

namespace radishstep::accounts {

/// How much an account has used lately over all hosts, and how much it usually uses.
class account_activity
{
public:
    /// Time constants of the two moving averages.
    static constexpr std::chrono::duration<double> recent_period{1.5};
    static constexpr std::chrono::duration<double> usual_period{30};
    /// An account that uses this many times its usual has a surge.
    static constexpr double surge_ratio = 2.5;

    explicit account_activity(time_point now) : started_at(now), averaged_at(now) {}

    /// Records units that a host has spent.
    void record(double units, time_point now);

    /// Returns the units that the account has used lately, in a second.
    double recent_per_s(time_point now) const;

    /// Returns the units that the account usually uses in a second.
    double usual_per_s(time_point now) const;

    /// Returns whether the account uses much more than it usually does, and more than `equal_share_per_s`. Sparse
    /// requests of a small account look like a surge, too, but take nothing from others.
    bool has_surge(double equal_share_per_s, time_point now) const;

private:
    void decay(time_point now);

    time_point started_at;
    time_point averaged_at;
    double recent_units = 0;
    double usual_units = 0;
};

} // namespace radishstep::accounts
