#include "forward/endpoints/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace radishstep::forward {

namespace {

constexpr std::chrono::seconds record_lifetime{60};

double decayed(double value, runtime_clock::duration age, milliseconds time_constant)
{
    return value * std::exp(-to_ms(age) / static_cast<double>(time_constant.count()));
}

} // namespace

void endpoint_health::record_outcome(const std::string& incarnation, call_outcome outcome, time_point now)
{
    const double previous = this->failure_ratio(incarnation, now);
    endpoint_record& state = this->records[incarnation];
    state.last_used = now;
    if (outcome == call_outcome::rejected) {
        state.avoided_until = std::max(state.avoided_until, now + state.next_full_avoidance);
        state.next_full_avoidance = std::min(state.next_full_avoidance * 2, max_full_avoidance);
        return;
    }
    const double latest_failure = outcome == call_outcome::answered ? 0 : 1;
    state.last_failure_ratio = previous * (1 - latest_outcome_weight) + latest_failure * latest_outcome_weight;
    state.failure_ratio_at = now;
    if (outcome == call_outcome::answered) {
        state.next_avoidance = initial_avoidance;
        state.next_full_avoidance = initial_full_avoidance;
        return;
    }
    if (outcome == call_outcome::unreachable || outcome == call_outcome::lost) {
        state.avoided_until = now + state.next_avoidance;
        state.next_avoidance = std::min(state.next_avoidance * 2, max_avoidance);
    }
}

bool endpoint_health::record_down(const down_endpoint& observed)
{
    const bool is_new = !this->is_avoided(observed.incarnation, observed.observed_at);
    this->record_outcome(observed.incarnation, call_outcome::unreachable, observed.observed_at);
    endpoint_record& state = this->records[observed.incarnation];
    state.observed_down_at = observed.observed_at;
    state.has_refused = observed.has_refused;
    return is_new;
}

bool endpoint_health::apply_peer_down_report(const down_endpoint& report, time_point now)
{
    const bool is_new = !this->is_avoided(report.incarnation, now);
    endpoint_record& state = this->records[report.incarnation];
    state.last_used = std::max(state.last_used, report.observed_at);
    state.avoided_until = std::max(state.avoided_until, report.observed_at + down_report_lifetime);
    return is_new;
}

std::vector<down_endpoint> endpoint_health::observed_down(time_point now, time_point since) const
{
    std::vector<down_endpoint> down_endpoints;
    for (const auto& [incarnation, state] : this->records) {
        if (state.observed_down_at + down_report_lifetime > now && state.observed_down_at >= since)
            down_endpoints.push_back({incarnation, state.observed_down_at, state.has_refused});
    }
    return down_endpoints;
}

bool endpoint_health::is_avoided(const std::string& incarnation, time_point now) const
{
    const auto found = this->records.find(incarnation);
    if (found == this->records.end())
        return false;
    return now < found->second.avoided_until || this->failure_ratio(incarnation, now) >= avoided_failure_ratio;
}

double endpoint_health::failure_ratio(const std::string& incarnation, time_point now) const
{
    const auto found = this->records.find(incarnation);
    if (found == this->records.end())
        return 0;
    return decayed(found->second.last_failure_ratio, now - found->second.failure_ratio_at, failure_decay_time);
}

void endpoint_health::expire_records(time_point now)
{
    std::erase_if(this->records, [now](const auto& entry) { return entry.second.last_used + record_lifetime < now; });
}

} // namespace radishstep::forward
