#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Limits of extra calls, which are all calls of a request after its first one, for all hosts together.
struct retry_limits
{
    /// Extra calls allowed per request within the window.
    double ratio = 0.2;
    milliseconds window{10'000};
    /// Extra calls allowed within the window independent of the number of requests.
    double slack = 10;

    bool operator==(const retry_limits&) const = default;
};

/// This host's equal share of the retry budget of each service. It depends on no messages from other hosts, so lost
/// or delayed messages cannot make the hosts together exceed the limits.
class retry_budget
{
public:
    /// Fraction of this host's share that may be spent. The rest is a margin, since the windows of other hosts and
    /// calls in flight are not aligned with this host's window.
    static constexpr double safety_factor = 0.9;

    /// Sets the limits and the number of hosts that share them.
    void configure(retry_limits limits, std::size_t host_count);

    /// Counts an incoming request for the service.
    void record_request(const std::string& service, time_point now);

    /// Counts one more extra call and returns true, or returns false if the budget is used up.
    bool try_spend(const std::string& service, time_point now);

    /// Uncounts the latest extra call, which did not reach an endpoint.
    void refund(const std::string& service);

    /// Returns how many extra calls remain of this host's share.
    double remaining(const std::string& service, time_point now);

private:
    struct usage
    {
        std::deque<time_point> requests;
        std::deque<time_point> extra_calls;
    };

    usage& recent_usage(const std::string& service, time_point now);

    retry_limits limits;
    std::size_t host_count = 1;
    std::map<std::string, usage> usage_by_service;
};

} // namespace radishstep::forward
