#include "routing/token_time_estimate.h"

#include <cmath>

namespace radishstep {

namespace {

constexpr double recent_weight = 0.5;
constexpr double usual_weight = 0.02;
constexpr std::chrono::duration<double> fade_time{2.0};

token_time_estimate::duration mix(token_time_estimate::duration old_value, token_time_estimate::duration new_value, double weight)
{
    const double mixed =
        static_cast<double>(old_value.count()) * (1 - weight) + static_cast<double>(new_value.count()) * weight;
    return token_time_estimate::duration{static_cast<token_time_estimate::duration::rep>(mixed)};
}

} // namespace

token_time_estimate::token_time_estimate(duration usual) : usual(usual), recent(usual) {}

void token_time_estimate::observe(duration per_token, time_point now)
{
    this->recent = mix(this->expected(now), per_token, recent_weight);
    this->usual = mix(this->usual, per_token, usual_weight);
    this->observed_at = now;
}

token_time_estimate::duration token_time_estimate::expected(time_point now) const
{
    const std::chrono::duration<double> age = now - this->observed_at;
    const double faded = 1.0 - std::exp(-age / fade_time);
    return mix(this->recent, this->usual, faded);
}

} // namespace radishstep
