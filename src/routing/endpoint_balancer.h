#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "config/site_config.h"

namespace radishstep {

/// Spreads the calls to plain services over their endpoints: the better of two random ones by this
/// process' own open calls and observed times. An endpoint that failed is left alone for a moment.
class endpoint_balancer
{
public:
    static constexpr std::chrono::milliseconds rest_after_failure{1'000};

    explicit endpoint_balancer(std::uint64_t seed = 1);

    /// Returns the endpoint for a call, or nullptr when all are to be avoided.
    const endpoint_config* pick(const std::vector<endpoint_config>& endpoints, const std::vector<std::string>& avoid,
                                const std::string& zone, time_point now);

    /// Notes the start and the end of a call.
    void on_call_started(const std::string& endpoint);
    void on_call_ended(const std::string& endpoint, bool failed, runtime_clock::duration took, time_point now);

    /// Sets the IP numbers of leaving hosts: endpoints there get no new calls.
    void set_leaving_addresses(std::vector<std::string> addresses);

private:
    struct record
    {
        int open = 0;
        double mean_ms = 1;
        time_point rests_until;
    };

    double cost_of(const endpoint_config& endpoint, const std::string& zone) const;

    std::map<std::string, record> records;
    std::vector<std::string> leaving;
    std::mt19937_64 random;
};

} // namespace radishstep
