#include "routing/endpoint_balancer.h"

#include <utility>

namespace radishstep {

namespace {

constexpr double new_time_weight = 0.2;

/// Added to the cost of an endpoint in another zone: the way there and back.
constexpr double other_zone_ms = 2.0;

} // namespace

endpoint_balancer::endpoint_balancer(std::uint64_t seed) : random(seed) {}

const endpoint_config* endpoint_balancer::pick(const std::vector<endpoint_config>& endpoints,
                                               const std::vector<std::string>& avoid, const std::string& zone,
                                               time_point now)
{
    std::vector<const endpoint_config*> rested;
    std::vector<const endpoint_config*> allowed;
    for (const endpoint_config& endpoint : endpoints) {
        if (contains(avoid, endpoint.name) || contains(this->leaving, endpoint.ip()))
            continue;
        allowed.push_back(&endpoint);
        if (this->records[endpoint.name].rests_until <= now)
            rested.push_back(&endpoint);
    }
    const auto& candidates = rested.empty() ? allowed : rested;
    if (candidates.empty())
        return nullptr;
    std::uniform_int_distribution<std::size_t> any{0, candidates.size() - 1};
    const endpoint_config* const first = candidates[any(this->random)];
    const endpoint_config* const second = candidates[any(this->random)];
    return this->cost_of(*second, zone) < this->cost_of(*first, zone) ? second : first;
}

void endpoint_balancer::on_call_started(const std::string& endpoint)
{
    ++this->records[endpoint].open;
}

void endpoint_balancer::on_call_ended(const std::string& endpoint, bool failed, runtime_clock::duration took,
                                   time_point now)
{
    record& found = this->records[endpoint];
    --found.open;
    if (failed)
        found.rests_until = now + rest_after_failure;
    else
        found.mean_ms += (to_ms(took) - found.mean_ms) * new_time_weight;
}

void endpoint_balancer::set_leaving_addresses(std::vector<std::string> addresses)
{
    this->leaving = std::move(addresses);
}

double endpoint_balancer::cost_of(const endpoint_config& endpoint, const std::string& zone) const
{
    const auto found = this->records.find(endpoint.name);
    const record known = found == this->records.end() ? record{} : found->second;
    return (known.open + 1) * known.mean_ms + (endpoint.zone == zone ? 0.0 : other_zone_ms);
}

} // namespace radishstep
