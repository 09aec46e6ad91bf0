#include "routing/endpoint_balancer.h"

#include <utility>

namespace radishstep {

namespace {

/// Weight of a new observation in the exponentially weighted mean call time.
constexpr double call_time_weight = 0.2;

/// Network round trip between zones, added to the cost of an endpoint in another zone.
constexpr double cross_zone_round_trip_ms = 2.0;

} // namespace

endpoint_balancer::endpoint_balancer(std::uint64_t seed) : random(seed) {}

const endpoint_config* endpoint_balancer::pick(const std::vector<endpoint_config>& endpoints,
                                               const std::vector<std::string>& avoid, const std::string& zone,
                                               time_point now)
{
    std::vector<const endpoint_config*> not_ejected;
    std::vector<const endpoint_config*> allowed;
    for (const endpoint_config& endpoint : endpoints) {
        if (contains(avoid, endpoint.name) || contains(this->leaving_addresses, endpoint.ip()))
            continue;
        allowed.push_back(&endpoint);
        if (this->statistics[endpoint.name].ejected_until <= now)
            not_ejected.push_back(&endpoint);
    }
    const auto& candidates = not_ejected.empty() ? allowed : not_ejected;
    if (candidates.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> any{0, candidates.size() - 1};
    const endpoint_config* const first = candidates[any(this->random)];
    const endpoint_config* const second = candidates[any(this->random)];
    return this->expected_cost(*second, zone) < this->expected_cost(*first, zone) ? second : first;
}

void endpoint_balancer::on_call_started(const std::string& endpoint)
{
    ++this->statistics[endpoint].open_calls;
}

void endpoint_balancer::on_call_ended(const std::string& endpoint, bool failed, runtime_clock::duration call_duration,
                                      time_point now)
{
    call_statistics& found = this->statistics[endpoint];
    --found.open_calls;
    if (failed)
        found.ejected_until = now + ejection_time;
    else
        found.mean_call_ms += (to_ms(call_duration) - found.mean_call_ms) * call_time_weight;
}

void endpoint_balancer::set_leaving_addresses(std::vector<std::string> addresses)
{
    this->leaving_addresses = std::move(addresses);
}

double endpoint_balancer::expected_cost(const endpoint_config& endpoint, const std::string& zone) const
{
    const auto found = this->statistics.find(endpoint.name);
    const call_statistics current = found == this->statistics.end() ? call_statistics{} : found->second;
    return (current.open_calls + 1) * current.mean_call_ms + (endpoint.zone == zone ? 0.0 : cross_zone_round_trip_ms);
}

} // namespace radishstep
