#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishstep {

/// The state of a host in the membership protocol. A joining host is still discovering the others and
/// owns no cells. Within one incarnation, a later value supersedes an earlier one.
enum class member_state { joining = 0, alive = 1, suspect = 2, leaving = 3, dead = 4 };

/// Returns the name that status pages show for `state`.
std::string_view to_string(member_state state);

/// The record that the membership protocol keeps and sends of one router host. A host that restarts, or
/// that refutes a report of its failure, gets a higher incarnation.
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
    /// The admin addresses of the broker and the entry process, "IP:port,IP:port".
    std::string admin_urls;

    bool operator==(const member&) const = default;

    /// Returns true when `other`, a record of the same host, is newer than this one: by incarnation, then by state.
    bool is_superseded_by(const member& other) const;

    /// Returns "address:link_port".
    std::string link_address() const;
};

/// The router hosts of a region, and the IP addresses of all hosts (endpoint hosts, too) that the host list marks as
/// leaving.
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
