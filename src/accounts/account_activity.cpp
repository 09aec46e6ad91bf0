#include "accounts/account_activity.h"

#include <cmath>

namespace radishstep::accounts {

namespace {

double decay_factor(runtime_clock::duration span, std::chrono::duration<double> period)
{
    return std::exp(-(std::chrono::duration<double>(span) / period));
}

/// Returns units a second from a decaying sum. The sum covers less than its period while the average is young.
double to_rate(double units, runtime_clock::duration age, std::chrono::duration<double> period)
{
    constexpr double min_covered_part = 0.05;
    const double covered_part = std::max(1 - decay_factor(age, period), min_covered_part);
    return units / (period.count() * covered_part);
}

} // namespace

void account_activity::record(double units, time_point now)
{
    this->decay(now);
    this->recent_units += units;
    this->usual_units += units;
}

double account_activity::recent_per_s(time_point now) const
{
    const double units = this->recent_units * decay_factor(now - this->averaged_at, recent_period);
    return to_rate(units, now - this->started_at, recent_period);
}

double account_activity::usual_per_s(time_point now) const
{
    const double units = this->usual_units * decay_factor(now - this->averaged_at, usual_period);
    return to_rate(units, now - this->started_at, usual_period);
}

bool account_activity::has_surge(double equal_share_per_s, time_point now) const
{
    const double recent = this->recent_per_s(now);
    return recent > equal_share_per_s && recent > surge_ratio * this->usual_per_s(now);
}

void account_activity::decay(time_point now)
{
    if (now <= this->averaged_at)
        return;
    this->recent_units *= decay_factor(now - this->averaged_at, recent_period);
    this->usual_units *= decay_factor(now - this->averaged_at, usual_period);
    this->averaged_at = now;
}

} // namespace radishstep::accounts
