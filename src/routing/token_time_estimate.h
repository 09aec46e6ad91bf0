#pragma once

#include "base/runtime_clock.h"

namespace radishstep {

/// Estimates an endpoint's time per token from observed times. An endpoint that is slow only for a
/// moment is not asked much meanwhile, so an old observation fades towards the usual pace.
class token_time_estimate
{
public:
    using duration = runtime_clock::duration;

    explicit token_time_estimate(duration usual);

    /// Takes an observed time per token.
    void observe(duration per_token, time_point now);

    /// Returns the time per token to expect now.
    duration expected(time_point now) const;

private:
    duration usual;
    duration recent;
    time_point observed_at;
};

} // namespace radishstep
