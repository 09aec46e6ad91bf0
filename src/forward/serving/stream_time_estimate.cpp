#include "forward/serving/stream_time_estimate.h"

namespace radishstep::forward {

void stream_time_estimate::record(std::int64_t expected_tokens, runtime_clock::duration duration)
{
    if (expected_tokens <= 0)
        return;
    const double latest = to_ms(duration) / static_cast<double>(expected_tokens);
    const double previous = this->ms_per_token.value_or(latest);
    this->ms_per_token = previous + (latest - previous) * latest_stream_weight;
}

milliseconds stream_time_estimate::expected(std::int64_t expected_tokens) const
{
    if (!this->ms_per_token || expected_tokens <= 0)
        return milliseconds{0};
    return milliseconds{static_cast<milliseconds::rep>(*this->ms_per_token * static_cast<double>(expected_tokens))};
}

milliseconds stream_time_estimate::required(std::int64_t expected_tokens) const
{
    const double expected_ms = to_ms(this->expected(expected_tokens));
    return milliseconds{static_cast<milliseconds::rep>(expected_ms * shortest_stream_fraction)};
}

} // namespace radishstep::forward
