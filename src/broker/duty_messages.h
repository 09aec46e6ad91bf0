#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/bounded_ring.h"
#include "keyvalue/host_list_client.h"
#include "membership/member.h"

namespace radishstep {

/// The messages that the other duties send to the membership duty.
namespace to_membership {

/// The configuration in force on this host has a new version.
struct config_version
{
    std::int64_t version;
    bool operator==(const config_version&) const = default;
};
/// The address of a peer refused a connection.
struct peer_refused
{
    std::string host;
    std::int64_t incarnation;
    bool operator==(const peer_refused&) const = default;
};
/// The IP addresses of router hosts to contact, from the host list.
struct seeds
{
    std::vector<std::string> addresses;
    bool operator==(const seeds&) const = default;
};
/// This host is leaving.
struct leave
{
    bool operator==(const leave&) const = default;
};

using any = std::variant<config_version, peer_refused, seeds, leave>;

} // namespace to_membership

/// The messages that the other duties send to the cells duty.
namespace to_cells {

/// The member list has changed.
struct members
{
    std::vector<member> all;
    bool operator==(const members&) const = default;
};
/// The host list has changed.
struct host_list
{
    std::vector<listed_host> hosts;
    bool operator==(const host_list&) const = default;
};
/// The key-value service returned a configuration document.
struct config
{
    std::string document;
    bool operator==(const config&) const = default;
};
/// A peer has the configuration in a higher version; its broker serves it at the link address.
struct newer_config
{
    std::string link_address;
    std::int64_t version;
    bool operator==(const newer_config&) const = default;
};
/// An operator or a stop signal asks this process to hand over its cells and exit.
struct drain
{
    bool operator==(const drain&) const = default;
};

using any = std::variant<members, host_list, config, newer_config, drain>;

} // namespace to_cells

using membership_ring = bounded_ring<to_membership::any>;
using cells_ring = bounded_ring<to_cells::any>;

inline constexpr std::size_t duty_ring_capacity = 4'096;

} // namespace radishstep
