#pragma once

#include <cstdint>
#include <optional>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Estimates how long a service's engines take to stream an answer, from completed streams. The estimate is per token
/// that callers expected, so that it also corrects expectations that are too high or too low on average.
class stream_time_estimate
{
public:
    /// Weight of the latest stream in the moving average. Several streams are averaged, since the lengths of answers
    /// differ from the callers' expectations in both directions.
    static constexpr double latest_stream_weight = 0.1;
    /// Shortest stream that is likely, as a fraction of the expected duration. Callers' expectations are right in the
    /// median only; some answers are half as long.
    static constexpr double shortest_stream_fraction = 0.5;

    /// Records a stream that took `duration` from the call of the decode engine to its end; ignored if
    /// `expected_tokens` is not positive.
    void record(std::int64_t expected_tokens, runtime_clock::duration duration);

    /// Returns the expected duration of a stream, or 0 before the first recorded stream.
    milliseconds expected(std::int64_t expected_tokens) const;

    /// Returns how much time must be left for a stream to be started: with less, it would almost certainly be cut at
    /// its deadline and have used the engine for nothing. Returns 0 before the first recorded stream.
    milliseconds required(std::int64_t expected_tokens) const;

private:
    std::optional<double> ms_per_token;
};

} // namespace radishstep::forward
