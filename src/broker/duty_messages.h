#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/bounded_ring.h"
#include "keyvalue/host_list_client.h"
#include "membership/member.h"

namespace radishstep {

/// What the other duties tell the membership duty.
namespace to_membership {

struct config_version
{
    std::int64_t version;
    bool operator==(const config_version&) const = default;
};
struct peer_refused
{
    std::string host;
    std::int64_t incarnation;
    bool operator==(const peer_refused&) const = default;
};
struct seeds
{
    std::vector<std::string> addresses;
    bool operator==(const seeds&) const = default;
};
struct leave
{
    bool operator==(const leave&) const = default;
};

using any = std::variant<config_version, peer_refused, seeds, leave>;

} // namespace to_membership

/// What the other duties tell the cells duty.
namespace to_cells {

struct members
{
    std::vector<member> all;
    bool operator==(const members&) const = default;
};
struct host_list
{
    std::vector<listed_host> hosts;
    bool operator==(const host_list&) const = default;
};
struct config
{
    std::string document;
    bool operator==(const config&) const = default;
};
/// A peer has a higher version of the configuration.
struct newer_config
{
    std::string link_address;
    std::int64_t version;
    bool operator==(const newer_config&) const = default;
};
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
