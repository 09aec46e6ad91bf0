#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// How a call to an endpoint ended. `failed`: the endpoint answered with an error; `rejected`: it was full; `lost`: the
/// call broke off and may have reached the endpoint; `unreachable`: it did not reach the endpoint.
enum class call_outcome { answered, failed, rejected, lost, unreachable };

/// An endpoint incarnation that was observed to be down: its address refuses connections, or another incarnation
/// answers there. Unlike a timeout, this holds for every host, so it is shared between them.
struct down_endpoint
{
    std::string incarnation;
    time_point observed_at;
    /// It refused a connection.
    bool has_refused = false;

    bool operator==(const down_endpoint&) const = default;
};

/// Passive health tracking of endpoints by the outcomes of calls, not by what endpoints report of themselves.
class endpoint_health
{
public:
    /// How long an endpoint is avoided after a failed connection; doubles with each further one up to the maximum.
    static constexpr milliseconds initial_avoidance{400};
    static constexpr milliseconds max_avoidance{3'000};
    /// How long a host reports an endpoint that it observed to be down, and how long the others avoid it for that.
    static constexpr milliseconds down_report_lifetime{1'000};
    /// How long an endpoint that rejected a call as full is avoided: at first about the duration of one call. Each
    /// further rejection doubles the time up to the maximum, since each rejected call uses up retry budget.
    static constexpr milliseconds initial_full_avoidance{60};
    static constexpr milliseconds max_full_avoidance{960};
    /// Weight of the latest outcome in the moving average of failures.
    static constexpr double latest_outcome_weight = 0.2;
    /// Failure ratio from which an endpoint is avoided while healthier ones exist.
    static constexpr double avoided_failure_ratio = 0.3;
    /// Time constant of the exponential decay of the failure ratio, so that avoided endpoints are tried again.
    static constexpr milliseconds failure_decay_time{4'000};

    /// Updates the endpoint's record with the outcome of a call.
    void record_outcome(const std::string& incarnation, call_outcome outcome, time_point now);

    /// Records that this host observed the endpoint to be down. Returns true if it was not avoided already.
    bool record_down(const down_endpoint& observed);

    /// Applies another host's report that an endpoint is down. Returns true if it was not avoided already.
    bool apply_peer_down_report(const down_endpoint& report, time_point now);

    /// Returns the endpoints that this host itself observed to be down within down_report_lifetime and not before
    /// `since`. Reports of other hosts are excluded, since passing them on would keep them alive forever.
    std::vector<down_endpoint> observed_down(time_point now, time_point since = {}) const;

    /// Returns whether the endpoint should be selected only if no other is available.
    bool is_avoided(const std::string& incarnation, time_point now) const;

    /// Returns the moving average of failed calls, from 0 to 1.
    double failure_ratio(const std::string& incarnation, time_point now) const;

    /// Drops the records of endpoints that were not used for a minute.
    void expire_records(time_point now);

private:
    struct endpoint_record
    {
        time_point avoided_until;
        milliseconds next_avoidance = initial_avoidance;
        milliseconds next_full_avoidance = initial_full_avoidance;
        double last_failure_ratio = 0;
        time_point failure_ratio_at;
        time_point last_used;
        time_point observed_down_at;
        bool has_refused = false;
    };

    std::map<std::string, endpoint_record> records;
};

} // namespace radishstep::forward
