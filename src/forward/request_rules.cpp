#include "forward/request_rules.h"

#include <algorithm>

namespace radishstep::forward {

namespace {

/// When a refused caller may come back: an endpoint that failed is known everywhere by then.
constexpr milliseconds usual_retry{250};

/// Crests of the users' sheets are over in this time.
constexpr milliseconds longest_crest{4'000};

/// Callers honour at most a third of the time that they have left.
constexpr int most_part_of_left = 3;

bool promises_not_run(error_kind kind)
{
    constexpr unsigned too_many_requests = 429;
    constexpr unsigned unavailable = 503;
    constexpr unsigned request_timeout = 408;
    const unsigned status = http_status(kind);
    return status == too_many_requests || status == unavailable || status == request_timeout;
}

} // namespace

error error_for_caller(const error& reason, bool may_have_run)
{
    if (!may_have_run || !promises_not_run(reason.kind))
        return reason;
    return {error_kind::outcome_unknown, reason.message, ""};
}

std::optional<milliseconds> retry_after_delay(error_kind reason, bool may_have_run, milliseconds left)
{
    if (may_have_run)
        return std::nullopt;
    const milliseconds wanted = reason == error_kind::overloaded ? longest_crest : usual_retry;
    return std::min(wanted, left / most_part_of_left);
}

} // namespace radishstep::forward
