#include "forward/retry_budget.h"

#include <algorithm>

namespace radishstep::forward {

void retry_budget::configure(retry_limits next, std::size_t host_count)
{
    this->limits = next;
    this->hosts = std::max<std::size_t>(host_count, 1);
}

void retry_budget::record_request(const std::string& service, time_point now)
{
    this->recent(service, now).requests.push_back(now);
}

bool retry_budget::try_spend(const std::string& service, time_point now)
{
    if (this->left(service, now) < 1)
        return false;
    this->recent(service, now).extras.push_back(now);
    return true;
}

void retry_budget::refund(const std::string& service)
{
    account& spent = this->accounts[service];
    if (!spent.extras.empty())
        spent.extras.pop_back();
}

double retry_budget::left(const std::string& service, time_point now)
{
    const account& spent = this->recent(service, now);
    const double from_requests = this->limits.ratio * static_cast<double>(spent.requests.size());
    const double from_slack = this->limits.slack / static_cast<double>(this->hosts);
    return (from_requests + from_slack) * safe_part - static_cast<double>(spent.extras.size());
}

retry_budget::account& retry_budget::recent(const std::string& service, time_point now)
{
    account& found = this->accounts[service];
    const auto drop_old = [this, now](std::deque<time_point>& times) {
        while (!times.empty() && times.front() + this->limits.window < now)
            times.pop_front();
    };
    drop_old(found.requests);
    drop_old(found.extras);
    return found;
}

} // namespace radishstep::forward
