#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/bounded_ring.h"
#include "config/site_config.h"
#include "routing/permit.h"

namespace radishstep {

/// What the traffic duty tells the control duty.
namespace to_control {

struct ask
{
    std::string cell;
    permit_request wish;
    bool operator==(const ask&) const = default;
};
struct release
{
    std::string cell;
    permit_release done;
    bool operator==(const release&) const = default;
};
struct prefilled
{
    std::string cell;
    permit_key key;
    runtime_clock::duration prefill_time;
    bool operator==(const prefilled&) const = default;
};
struct pace
{
    std::string cell;
    std::string endpoint;
    runtime_clock::duration token_time;
    bool operator==(const pace&) const = default;
};

using any = std::variant<ask, release, prefilled, pace>;

} // namespace to_control

/// What the control duty tells the traffic duty.
namespace to_traffic {

struct config
{
    std::shared_ptr<const site_config> site;
    bool operator==(const config&) const = default;
};

/// The IP numbers of hosts that are leaving: endpoints there get no new calls.
struct leaving_hosts
{
    std::vector<std::string> addresses;
    bool operator==(const leaving_hosts&) const = default;
};

using any = std::variant<permit_grant, permit_refusal, config, leaving_hosts>;

} // namespace to_traffic

using control_ring = bounded_ring<to_control::any>;
using traffic_ring = bounded_ring<to_traffic::any>;

inline constexpr std::size_t ring_capacity = 65'536;

} // namespace radishstep
