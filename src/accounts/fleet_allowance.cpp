#include "accounts/fleet_allowance.h"

#include <algorithm>
#include <cmath>

namespace radishstep::accounts {

double fleet_reach::fraction() const
{
    const std::size_t all = std::max<std::size_t>(this->known, 1);
    return static_cast<double>(std::clamp<std::size_t>(this->heard, 1, all)) / static_cast<double>(all);
}

void fleet_allowance::configure(const account_quota& new_quota, const fleet_reach& new_reach, time_point now)
{
    this->accrue(now);
    this->quota = new_quota;
    this->reach = new_reach;
    this->level = std::min(this->level, this->quota.burst_units * this->reach.fraction());
}

bool fleet_allowance::try_spend(double units, time_point now)
{
    if (!this->quota.is_limited())
        return true;
    this->accrue(now);
    if (this->level <= 0)
        return false;
    this->level -= units;
    return true;
}

void fleet_allowance::refund(double units, time_point now)
{
    this->accrue(now);
    this->level = std::min(this->level + units, this->quota.burst_units * this->reach.fraction());
}

void fleet_allowance::record_peer_spending(double units, time_point now)
{
    this->accrue(now);
    this->level -= units;
}

milliseconds fleet_allowance::time_until_left(time_point now)
{
    this->accrue(now);
    if (this->level > 0 || !this->quota.is_limited())
        return milliseconds{0};
    constexpr double ms_per_second = 1'000;
    const double seconds = -this->level / (this->quota.units_per_s * this->reach.fraction());
    return milliseconds{1} + milliseconds{static_cast<milliseconds::rep>(std::ceil(seconds * ms_per_second))};
}

double fleet_allowance::left(time_point now)
{
    this->accrue(now);
    return this->level;
}

void fleet_allowance::accrue(time_point now)
{
    const double seconds = std::chrono::duration<double>(now - this->accrued_at).count();
    this->accrued_at = std::max(this->accrued_at, now);
    if (seconds <= 0)
        return;
    const double part = this->reach.fraction();
    const double cap = this->quota.burst_units * part;
    // A level above the cap can't occur: configure() lowers it.
    this->level = std::min(this->level + seconds * this->quota.units_per_s * part, std::max(cap, 0.0));
}

} // namespace radishstep::accounts
