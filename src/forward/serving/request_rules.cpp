#include "forward/serving/request_rules.h"

#include <algorithm>

namespace radishstep::forward {

namespace {

/// Retry delay for refused callers; within this time all hosts learn of a failed endpoint.
constexpr milliseconds default_retry_delay{250};

/// Load peaks last up to 4 s; a retry after this time finds free capacity.
constexpr milliseconds max_load_peak_duration{4'000};

/// Callers accept a retry delay of at most a third of their remaining time.
constexpr int remaining_time_divisor = 3;

} // namespace

bool is_refusal_status(unsigned status)
{
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    constexpr unsigned request_timeout = 408;
    constexpr unsigned misdirected = 421;
    return status == too_many_requests || status == unavailable || status == request_timeout || status == misdirected;
}

bool is_failure_status(unsigned status)
{
    return status >= min_failure_status || is_refusal_status(status);
}

error quarantine_error()
{
    return {error_kind::quarantined, "endpoints crashed on this request or a part of its prompt", "change it, or wait"};
}

error error_for_caller(const error& reason, bool may_have_run)
{
    if (!may_have_run || !is_refusal_status(http_status(reason.kind)))
        return reason;
    return {error_kind::outcome_unknown, reason.message, ""};
}

std::optional<milliseconds> retry_after_delay(error_kind reason, bool may_have_run, milliseconds remaining)
{
    if (may_have_run)
        return std::nullopt;
    if (reason == error_kind::quarantined)
        return remaining / remaining_time_divisor;
    const milliseconds delay = reason == error_kind::overloaded ? max_load_peak_duration : default_retry_delay;
    return std::min(delay, remaining / remaining_time_divisor);
}

milliseconds retry_delay_after_pause(milliseconds remaining_pause, double draw)
{
    return remaining_pause + milliseconds{static_cast<milliseconds::rep>(to_ms(default_retry_delay) * draw)};
}

} // namespace radishstep::forward
