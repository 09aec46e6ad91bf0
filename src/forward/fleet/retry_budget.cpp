#include "forward/fleet/retry_budget.h"

#include <algorithm>

namespace radishstep::forward {

void retry_budget::configure(retry_limits new_limits, std::size_t host_count)
{
    this->limits = new_limits;
    this->host_count = std::max<std::size_t>(host_count, 1);
}

void retry_budget::record_request(const std::string& service, time_point now)
{
    this->recent_usage(service, now).requests.push_back(now);
}

bool retry_budget::try_spend(const std::string& service, time_point now)
{
    if (this->remaining(service, now) < 1)
        return false;
    this->recent_usage(service, now).extra_calls.push_back(now);
    return true;
}

void retry_budget::refund(const std::string& service)
{
    usage& used = this->usage_by_service[service];
    if (!used.extra_calls.empty())
        used.extra_calls.pop_back();
}

double retry_budget::remaining(const std::string& service, time_point now)
{
    const usage& used = this->recent_usage(service, now);
    const double from_requests = this->limits.ratio * static_cast<double>(used.requests.size());
    const double from_slack = this->limits.slack / static_cast<double>(this->host_count);
    return (from_requests + from_slack) * safety_factor - static_cast<double>(used.extra_calls.size());
}

retry_budget::usage& retry_budget::recent_usage(const std::string& service, time_point now)
{
    usage& found = this->usage_by_service[service];
    const auto drop_old = [this, now](std::deque<time_point>& times) {
        while (!times.empty() && times.front() + this->limits.window < now)
            times.pop_front();
    };
    drop_old(found.requests);
    drop_old(found.extra_calls);
    return found;
}

} // namespace radishstep::forward
