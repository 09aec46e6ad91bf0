#include "forward/forward_config.h"

#include <algorithm>
#include <numeric>

#include <boost/algorithm/string/predicate.hpp>

namespace radishstep::forward {

const route* forward_config::find_route(std::string_view host, std::string_view path) const
{
    const route* best = nullptr;
    for (const route& way : this->routes) {
        if (!boost::algorithm::iequals(way.host, host) || !path.starts_with(way.prefix))
            continue;
        if (best == nullptr || way.prefix.size() > best->prefix.size())
            best = &way;
    }
    return best;
}

const service* forward_config::find_service(std::string_view name) const
{
    const auto found = std::ranges::find(this->services, name, &service::name);
    return found == this->services.end() ? nullptr : &*found;
}

const std::string& choose_service(const route& way, double draw)
{
    const unsigned total =
        std::accumulate(way.services.begin(), way.services.end(), 0U,
                        [](unsigned sum, const weighted_service& part) { return sum + part.weight; });
    double left = draw * total;
    for (const weighted_service& part : way.services) {
        if (left < part.weight)
            return part.service;
        left -= part.weight;
    }
    return way.services.back().service;
}

} // namespace radishstep::forward
