#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// How much may be sent beyond the first call of each request, over all hosts together.
struct retry_limits
{
    /// Extra calls for each request, over the window.
    double ratio = 0.2;
    milliseconds window{10'000};
    /// Extra calls that are allowed at any load.
    double slack = 10;

    bool operator==(const retry_limits&) const = default;
};

/// One host's equal part of the retry budget of each service. It needs no word of the others, so that a lost or
/// late one can never let the fleet spend more.
class retry_budget
{
public:
    /// Part of a window's limit that is used: other hosts' windows and calls on their way
    /// do not line up with ours.
    static constexpr double safe_part = 0.9;

    /// Sets the limits of the fleet and how many hosts share them.
    void configure(retry_limits limits, std::size_t hosts);

    /// Counts a caller's request for the service.
    void record_request(const std::string& service, time_point now);

    /// Returns whether one more extra call may be sent, and counts it if so.
    bool try_spend(const std::string& service, time_point now);

    /// Takes back the last extra call, which did not reach an endpoint.
    void refund(const std::string& service);

    /// Returns the extra calls that are left of this host's part.
    double left(const std::string& service, time_point now);

private:
    struct account
    {
        std::deque<time_point> requests;
        std::deque<time_point> extras;
    };

    account& recent(const std::string& service, time_point now);

    retry_limits limits;
    std::size_t hosts = 1;
    std::map<std::string, account> accounts;
};

} // namespace radishstep::forward
