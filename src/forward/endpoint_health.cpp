#include "forward/endpoint_health.h"

#include <algorithm>
#include <cmath>

namespace radishstep::forward {

namespace {

/// Time in which an observed pace falls back to a third: slow moments of engines are short.
constexpr milliseconds pace_memory{800};
constexpr std::chrono::seconds record_memory{60};

double faded(double value, runtime_clock::duration age, milliseconds memory)
{
    return value * std::exp(-to_ms(age) / static_cast<double>(memory.count()));
}

} // namespace

void endpoint_health::record_outcome(const std::string& incarnation, call_outcome outcome, time_point now)
{
    const double before = this->failure_share(incarnation, now);
    record_of& known = this->records[incarnation];
    known.last = now;
    if (outcome == call_outcome::rejected) {
        known.avoided_until = std::max(known.avoided_until, now + known.next_full_avoidance);
        known.next_full_avoidance = std::min(known.next_full_avoidance * 2, longest_full_avoidance);
        return;
    }
    const double newest = outcome == call_outcome::answered ? 0 : 1;
    known.failures = before * (1 - newest_weight) + newest * newest_weight;
    known.failures_at = now;
    if (outcome == call_outcome::answered) {
        known.next_avoidance = first_avoidance;
        known.next_full_avoidance = full_avoidance;
        return;
    }
    if (outcome == call_outcome::unreachable || outcome == call_outcome::lost) {
        known.avoided_until = now + known.next_avoidance;
        known.next_avoidance = std::min(known.next_avoidance * 2, longest_avoidance);
    }
}

bool endpoint_health::record_down(const std::string& incarnation, time_point now)
{
    const bool is_news = !this->is_avoided(incarnation, now);
    this->record_outcome(incarnation, call_outcome::unreachable, now);
    this->records[incarnation].observed_down = now;
    return is_news;
}

bool endpoint_health::apply_peer_down_report(const down_endpoint& word, time_point now)
{
    const bool is_news = !this->is_avoided(word.incarnation, now);
    record_of& known = this->records[word.incarnation];
    known.last = std::max(known.last, word.seen);
    known.avoided_until = std::max(known.avoided_until, word.seen + down_report_lifetime);
    return is_news;
}

std::vector<down_endpoint> endpoint_health::observed_down(time_point now, time_point since) const
{
    std::vector<down_endpoint> seen;
    for (const auto& [incarnation, known] : this->records) {
        if (known.observed_down + down_report_lifetime > now && known.observed_down >= since)
            seen.push_back({incarnation, known.observed_down});
    }
    return seen;
}

void endpoint_health::record_slowdown(const std::string& incarnation, double ratio, time_point now)
{
    constexpr double newest_pace_weight = 0.5;
    const double before = this->slowdown(incarnation, now);
    record_of& known = this->records[incarnation];
    known.last = now;
    known.slowness = std::max(1.0, before * (1 - newest_pace_weight) + ratio * newest_pace_weight);
    known.slowness_at = now;
}

bool endpoint_health::is_avoided(const std::string& incarnation, time_point now) const
{
    const auto found = this->records.find(incarnation);
    if (found == this->records.end())
        return false;
    return now < found->second.avoided_until || this->failure_share(incarnation, now) >= bad_share;
}

double endpoint_health::failure_share(const std::string& incarnation, time_point now) const
{
    const auto found = this->records.find(incarnation);
    if (found == this->records.end())
        return 0;
    return faded(found->second.failures, now - found->second.failures_at, forget_time);
}

double endpoint_health::slowdown(const std::string& incarnation, time_point now) const
{
    const auto found = this->records.find(incarnation);
    if (found == this->records.end())
        return 1;
    return 1 + faded(found->second.slowness - 1, now - found->second.slowness_at, pace_memory);
}

void endpoint_health::expire_records(time_point now)
{
    std::erase_if(this->records, [now](const auto& entry) { return entry.second.last + record_memory < now; });
}

} // namespace radishstep::forward
