#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "config/site_config.h"

namespace radishstep {

/// Balances calls to plain services over their endpoints by power of two choices: of two random endpoints it picks
/// the one with the lower expected cost: its open calls times its mean call time, both as seen by this process, plus a
/// round trip if it is in another zone. A failed endpoint is ejected for `ejection_time`.
class endpoint_balancer
{
public:
    static constexpr std::chrono::milliseconds ejection_time{1'000};

    explicit endpoint_balancer(std::uint64_t seed = 1);

    /// Returns the endpoint for a call, or nullptr when each one is excluded by `avoid` (it failed an earlier call of
    /// the request) or is on a leaving host. Ejected endpoints are used only when there is no other.
    const endpoint_config* pick(const std::vector<endpoint_config>& endpoints, const std::vector<std::string>& avoid,
                                const std::string& zone, time_point now);

    /// Records the start of a call.
    void on_call_started(const std::string& endpoint);

    /// Records the end of a call. A failure ejects the endpoint; a success updates its mean call time.
    void on_call_ended(const std::string& endpoint, bool failed, runtime_clock::duration call_duration, time_point now);

    /// Sets the IP addresses of leaving hosts; their endpoints get no new calls.
    void set_leaving_addresses(std::vector<std::string> addresses);

private:
    struct call_statistics
    {
        int open_calls = 0;
        double mean_call_ms = 1;
        time_point ejected_until;
    };

    double expected_cost(const endpoint_config& endpoint, const std::string& zone) const;

    std::map<std::string, call_statistics> statistics;
    std::vector<std::string> leaving_addresses;
    std::mt19937_64 random;
};

} // namespace radishstep
