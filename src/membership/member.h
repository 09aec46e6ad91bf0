#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishstep {

/// What the other hosts think of a host. A joining one is still finding the others and owns nothing.
/// Later values win over earlier ones of the same incarnation.
enum class member_state { joining = 0, alive = 1, suspect = 2, leaving = 3, dead = 4 };

/// Returns the state's name in status pages.
std::string_view to_string(member_state state);

/// One router host.
struct member
{
    std::string host;
    std::string zone;
    std::string region;
    std::string address;
    int gossip_port = 0;
    int link_port = 0;
    std::int64_t incarnation = 0;
    member_state state = member_state::joining;
    std::string admin_urls;

    bool operator==(const member&) const = default;

    /// Returns true when `other` tells something newer of the same host.
    bool is_older_than(const member& other) const;

    /// Returns "address:link_port".
    std::string link_address() const;
};

/// Who is there: the router hosts, and the IP numbers of all hosts that are leaving.
struct membership_view
{
    std::vector<member> members;
    std::vector<std::string> leaving;

    bool operator==(const membership_view&) const = default;
};

/// Returns the hosts of `region` that may own cells.
std::vector<std::string> owner_candidates(const std::vector<member>& members, std::string_view region);

/// Returns the host that owns `cell`, or "" when no host can.
std::string find_cell_owner(std::string_view cell, const std::vector<member>& members, std::string_view region);

} // namespace radishstep
