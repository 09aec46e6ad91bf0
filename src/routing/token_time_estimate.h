#pragma once

#include "base/runtime_clock.h"

namespace radishstep {

/// Estimates an endpoint's time per token from observations. An endpoint that was slow gets few requests and so few
/// new observations; therefore the recent value decays towards the long-term baseline as it ages.
class token_time_estimate
{
public:
    using duration = runtime_clock::duration;

    explicit token_time_estimate(duration baseline);

    /// Records an observed time per token.
    void observe(duration per_token, time_point now);

    /// Returns the expected time per token at `now`.
    duration expected(time_point now) const;

private:
    duration baseline;
    duration recent;
    time_point observed_at;
};

} // namespace radishstep
