#pragma once

#include <map>
#include <string>
#include <vector>

#include "forward/endpoints/endpoint.h"

namespace radishstep::forward {

/// An incarnation that a change of the registrations shows to have ended, or to have lost its registration.
struct ended_endpoint
{
    std::string incarnation;
    /// A new incarnation has registered in its place, so it has ended for certain.
    bool is_replaced = false;

    bool operator==(const ended_endpoint&) const = default;
};

/// Returns the incarnations of `before` that are not in `after`; both are entries by key. Those that were draining had
/// been told to end, which is no sign of a crash.
std::vector<ended_endpoint> ended_endpoints(const std::map<std::string, endpoint>& before,
                                            const std::map<std::string, endpoint>& after);

/// Returns whether the new registration under the same key is that of a new incarnation, in place of one that was not
/// draining.
bool replaces_running(const endpoint& before, const endpoint& registered);

} // namespace radishstep::forward
