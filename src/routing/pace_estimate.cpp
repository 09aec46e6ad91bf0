#include "routing/pace_estimate.h"

#include <cmath>

namespace radishstep {

namespace {

constexpr double recent_weight = 0.5;
constexpr double usual_weight = 0.02;
constexpr std::chrono::duration<double> fade_time{2.0};

pace_estimate::duration mix(pace_estimate::duration old_value, pace_estimate::duration new_value, double weight)
{
    const double mixed =
        static_cast<double>(old_value.count()) * (1 - weight) + static_cast<double>(new_value.count()) * weight;
    return pace_estimate::duration{static_cast<pace_estimate::duration::rep>(mixed)};
}

} // namespace

pace_estimate::pace_estimate(duration usual) : usual(usual), recent(usual) {}

void pace_estimate::observe(duration per_token, time_point now)
{
    this->recent = mix(this->expected(now), per_token, recent_weight);
    this->usual = mix(this->usual, per_token, usual_weight);
    this->observed_at = now;
}

pace_estimate::duration pace_estimate::expected(time_point now) const
{
    const std::chrono::duration<double> age = now - this->observed_at;
    const double faded = 1.0 - std::exp(-age / fade_time);
    return mix(this->recent, this->usual, faded);
}

} // namespace radishstep
