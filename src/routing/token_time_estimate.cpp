#include "routing/token_time_estimate.h"

#include <cmath>

namespace radishstep {

namespace {

/// Weight of a new observation in the recent value.
constexpr double recent_weight = 0.5;

/// Weight of a new observation in the long-term baseline.
constexpr double baseline_weight = 0.02;

/// Time constant of the exponential decay from the recent value to the baseline.
constexpr std::chrono::duration<double> decay_time_constant{2.0};

token_time_estimate::duration blend(token_time_estimate::duration old_value, token_time_estimate::duration new_value,
                                    double weight)
{
    const double blended =
        static_cast<double>(old_value.count()) * (1 - weight) + static_cast<double>(new_value.count()) * weight;
    return token_time_estimate::duration{static_cast<token_time_estimate::duration::rep>(blended)};
}

} // namespace

token_time_estimate::token_time_estimate(duration baseline) : baseline(baseline), recent(baseline) {}

void token_time_estimate::observe(duration per_token, time_point now)
{
    this->recent = blend(this->expected(now), per_token, recent_weight);
    this->baseline = blend(this->baseline, per_token, baseline_weight);
    this->observed_at = now;
}

token_time_estimate::duration token_time_estimate::expected(time_point now) const
{
    const std::chrono::duration<double> age = now - this->observed_at;
    const double baseline_share = 1.0 - std::exp(-age / decay_time_constant);
    return blend(this->recent, this->baseline, baseline_share);
}

} // namespace radishstep
