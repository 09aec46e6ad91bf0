#include "forward/suspects/ended_endpoints.h"

namespace radishstep::forward {

std::vector<ended_endpoint> ended_endpoints(const std::map<std::string, endpoint>& before,
                                            const std::map<std::string, endpoint>& after)
{
    std::vector<ended_endpoint> ended;
    for (const auto& [key, known] : before) {
        if (known.is_draining)
            continue;
        const auto found = after.find(key);
        if (found == after.end())
            ended.push_back({known.incarnation(), false});
        else if (replaces_running(known, found->second))
            ended.push_back({known.incarnation(), true});
    }
    return ended;
}

bool replaces_running(const endpoint& before, const endpoint& registered)
{
    return !before.is_draining && before.incarnation() != registered.incarnation();
}

} // namespace radishstep::forward
