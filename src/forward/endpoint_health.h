#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// How a call to an endpoint ended, as far as it tells of the endpoint.
enum class call_outcome { answered, failed, rejected, lost, unreachable };

/// An endpoint incarnation that a host knows to be down since `seen`: nothing listens at its address, or
/// another incarnation answers there. That holds for all callers, unlike silence.
struct down_endpoint
{
    std::string incarnation;
    time_point seen;

    bool operator==(const down_endpoint&) const = default;
};

/// What this host has seen of each endpoint. Observed outcomes decide, not what endpoints say of themselves.
class endpoint_health
{
public:
    /// How long an endpoint is avoided after it could not be reached; doubles up to the longest.
    static constexpr milliseconds first_avoidance{400};
    static constexpr milliseconds longest_avoidance{3'000};
    /// How long hosts tell each other that they saw an endpoint down, and avoid it on that word.
    static constexpr milliseconds down_report_lifetime{1'000};
    /// How long an endpoint that was full is avoided: about the time of one call, doubled with each further
    /// rejection up to a second, since each costs a part of the retry budget.
    static constexpr milliseconds full_avoidance{60};
    static constexpr milliseconds longest_full_avoidance{960};
    /// Weight of the newest outcome in the failure share.
    static constexpr double newest_weight = 0.2;
    /// Failure share from which an endpoint is avoided while others do better.
    static constexpr double bad_share = 0.3;
    /// Time in which an old failure share falls to a third, so that endpoints get another chance.
    static constexpr milliseconds forget_time{4'000};

    /// Counts an outcome.
    void record_outcome(const std::string& incarnation, call_outcome outcome, time_point now);

    /// Counts that the endpoint was seen to be down. Returns whether that is news.
    bool record_down(const std::string& incarnation, time_point now);

    /// Takes another host's word that an endpoint is down. Returns whether that is news.
    bool apply_peer_down_report(const down_endpoint& word, time_point now);

    /// Returns what this host itself saw to be down lately, and not before `since`.
    std::vector<down_endpoint> observed_down(time_point now, time_point since = {}) const;

    /// Counts how long a call took against what was expected (1: as expected).
    void record_slowdown(const std::string& incarnation, double ratio, time_point now);

    /// Returns true while the endpoint should get work only when no other can.
    bool is_avoided(const std::string& incarnation, time_point now) const;

    /// Returns the share of calls that failed lately, from 0 to 1.
    double failure_share(const std::string& incarnation, time_point now) const;

    /// Returns how many times longer than expected calls take lately, at least 1.
    double slowdown(const std::string& incarnation, time_point now) const;

    /// Forgets endpoints that were not used for a while.
    void expire_records(time_point now);

private:
    struct record_of
    {
        time_point avoided_until;
        milliseconds next_avoidance = first_avoidance;
        milliseconds next_full_avoidance = full_avoidance;
        double failures = 0;
        time_point failures_at;
        double slowness = 1;
        time_point slowness_at;
        time_point last;
        time_point observed_down;
    };

    std::map<std::string, record_of> records;
};

} // namespace radishstep::forward
