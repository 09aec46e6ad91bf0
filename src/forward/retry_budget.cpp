#include "forward/retry_budget.h"

#include <algorithm>

namespace radishstep::forward {

void retry_budget::configure(retry_limits next, std::size_t host_count)
{
    this->limits = next;
    this->hosts = std::max<std::size_t>(host_count, 1);
}

void retry_budget::count_request(const std::string& service, time_point now)
{
    this->recent(service, now).requests.push_back(now);
}

bool retry_budget::take(const std::string& service, time_point now)
{
    const bool may_borrow = this->left_in_fleet(service, now) >= 1 + kept_per_host * static_cast<double>(this->hosts);
    if (this->left(service, now) < 1 && !may_borrow)
        return false;
    this->recent(service, now).extras.push_back(now);
    return true;
}

void retry_budget::give_back(const std::string& service)
{
    account& spent = this->accounts[service];
    if (!spent.extras.empty())
        spent.extras.pop_back();
}

void retry_budget::take_word(const std::string& host, const budget_table& word, time_point now)
{
    host_word& known = this->words[host];
    known.heard = now;
    for (const auto& [service, use] : word)
        known.use[service] = use;
}

budget_table retry_budget::used(time_point now)
{
    budget_table table;
    for (const auto& [service, unused] : this->accounts) {
        const account& spent = this->recent(service, now);
        table[service] = {static_cast<int>(spent.requests.size()), static_cast<int>(spent.extras.size())};
    }
    return table;
}

double retry_budget::share_left(const budget_use& use) const
{
    const double from_requests = this->limits.ratio * use.requests;
    const double from_slack = this->limits.slack / static_cast<double>(this->hosts);
    return (from_requests + from_slack) * safe_part - use.extras;
}

double retry_budget::own_share_left(const std::string& service, time_point now)
{
    const account& spent = this->recent(service, now);
    return this->share_left({static_cast<int>(spent.requests.size()), static_cast<int>(spent.extras.size())});
}

double retry_budget::left(const std::string& service, time_point now)
{
    double debts = 0;
    for (const auto& [host, word] : this->words) {
        if (const auto found = word.use.find(service);
            found != word.use.end() && word.heard + this->limits.window >= now)
            debts += std::max(-this->share_left(found->second), 0.0);
    }
    return this->own_share_left(service, now) - debts / static_cast<double>(this->hosts);
}

double retry_budget::left_in_fleet(const std::string& service, time_point now)
{
    double sum = this->own_share_left(service, now);
    for (const auto& [host, word] : this->words) {
        if (word.heard + this->limits.window < now)
            continue;
        const auto found = word.use.find(service);
        const double left = this->share_left(found == word.use.end() ? budget_use{} : found->second);
        sum += word.heard + word_time < now ? std::min(left, 0.0) : left;
    }
    return sum;
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
