#include "forward/gateway/forward_config.h"

#include <algorithm>
#include <numeric>

#include <boost/algorithm/string/predicate.hpp>

namespace radishstep::forward {

const route* forward_config::find_route(std::string_view host, std::string_view path) const
{
    const route* best = nullptr;
    for (const route& candidate : this->routes) {
        if (!boost::algorithm::iequals(candidate.host, host) || !path.starts_with(candidate.prefix))
            continue;
        if (best == nullptr || candidate.prefix.size() > best->prefix.size())
            best = &candidate;
    }
    return best;
}

int forward_config::lowest_priority() const
{
    const auto lowest = std::ranges::max_element(this->routes, {}, &route::priority);
    return lowest == this->routes.end() ? 0 : lowest->priority;
}

const service* forward_config::find_service(std::string_view name) const
{
    const auto found = std::ranges::find(this->services, name, &service::name);
    return found == this->services.end() ? nullptr : &*found;
}

const std::string& choose_service(const route& matched_route, double draw)
{
    const unsigned total =
        std::accumulate(matched_route.services.begin(), matched_route.services.end(), 0U,
                        [](unsigned sum, const weighted_service& candidate) { return sum + candidate.weight; });
    double remaining = draw * total;
    for (const weighted_service& candidate : matched_route.services) {
        if (remaining < candidate.weight)
            return candidate.service;
        remaining -= candidate.weight;
    }
    return matched_route.services.back().service;
}

} // namespace radishstep::forward
