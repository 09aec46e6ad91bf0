#include "forward/serving/account_admission.h"

#include <algorithm>
#include <cmath>

#include "base/log.h"
#include "base/metrics.h"
#include "forward/serving/request_rules.h"

namespace radishstep::forward {

namespace {

/// Account priorities go before route priorities, of which more than this are taken for equal.
constexpr int max_route_priority = 999;

/// Longest random delay by which callers over their quota return apart.
constexpr double max_retry_spread_ms = 250;

} // namespace

account_admission::account_admission(forward_context& context, const forward_config& config, const route& matched_route,
                                     caller_request& request)
    : context(context), config(config), matched_route(matched_route), request(request)
{
}

std::optional<error> account_admission::identify()
{
    this->request.priority = this->matched_route.priority;
    this->request.queue_priority = this->matched_route.priority;
    if (this->config.accounts.is_empty())
        return std::nullopt;
    this->request.account = "";
    if (!this->matched_route.is_anonymous) {
        this->account = this->config.accounts.find_by_key(this->request.account_key);
        if (this->account == nullptr) {
            count("radishstep_accounts_unknown_keys_total");
            log_decision("key_unknown", {{"request", this->request.id},
                                         {"key", accounts::fingerprint_key(this->request.account_key)},
                                         {"config", std::to_string(this->config.version)}});
            return error{error_kind::unauthorized, "no client account has the request's key",
                         "send a key of the account"};
        }
        this->request.account = this->account->name;
    }
    this->set_priorities(runtime_clock::now());
    return std::nullopt;
}

void account_admission::set_priorities(time_point now)
{
    const int route_priority = std::clamp(this->matched_route.priority, 0, max_route_priority);
    const int rank = this->account == nullptr ? 0 : this->config.accounts.rank_of(this->account->priority);
    // The account's priority decides first, then the route's; within both, accounts without a surge go first.
    const int urgency = rank * (max_route_priority + 1) + route_priority;
    const bool has_surge = this->account != nullptr && this->context.ledger.has_surge(this->account->name, now);
    this->request.queue_priority = 2 * urgency + (has_surge ? 1 : 0);
    if (rank > 0)
        this->request.priority =
            rank * (std::min(this->config.lowest_priority(), max_route_priority) + 1) + route_priority;
}

std::optional<error> account_admission::charge(time_point now)
{
    if (this->account == nullptr)
        return std::nullopt;
    const double units = this->account->units_of(this->request.announced_tokens);
    if (this->context.ledger.try_spend(this->account->name, units, now)) {
        this->charged_units = units;
        return std::nullopt;
    }
    const accounts::account_balance balance = this->context.ledger.balance(this->account->name, now);
    count("radishstep_accounts_over_quota_total");
    log_decision("over_quota", {{"request", this->request.id},
                                {"account", this->account->name},
                                {"units", std::to_string(std::llround(units))},
                                {"left", std::to_string(std::llround(balance.left))},
                                {"recent_per_s", std::to_string(std::llround(balance.recent_per_s))},
                                {"heard_hosts", std::to_string(balance.reach.heard)},
                                {"known_hosts", std::to_string(balance.reach.known)}});
    return error{error_kind::quota_exceeded, "the client account has used up its quota", "retry after the given time"};
}

milliseconds account_admission::retry_delay(time_point now)
{
    const milliseconds spread{static_cast<milliseconds::rep>(max_retry_spread_ms * this->context.draw())};
    return this->context.ledger.time_until_left(this->account->name, now) + spread;
}

void account_admission::settle(unsigned status, time_point now)
{
    if (this->account == nullptr || this->charged_units <= 0 || !is_refusal_status(status))
        return;
    this->context.ledger.refund(this->account->name, this->charged_units, now);
    this->charged_units = 0;
}

} // namespace radishstep::forward
