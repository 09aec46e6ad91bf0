#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/bounded_ring.h"
#include "config/site_config.h"
#include "routing/permit.h"

namespace radishstep {

/// Messages from the traffic duty to the control duty.
namespace to_control {

/// Requests a permit in a cell.
struct request_permit
{
    std::string cell;
    permit_request request;
    bool operator==(const request_permit&) const = default;
};
/// Releases a permit, or withdraws its request.
struct release_permit
{
    std::string cell;
    permit_release release;
    bool operator==(const release_permit&) const = default;
};
/// Reports that the prefill under a permit is done, and how long it took.
struct report_prefill_done
{
    std::string cell;
    permit_key key;
    runtime_clock::duration prefill_time;
    bool operator==(const report_prefill_done&) const = default;
};
/// Reports the mean time per token that a decode endpoint currently shows.
struct report_token_time
{
    std::string cell;
    std::string endpoint;
    runtime_clock::duration token_time;
    bool operator==(const report_token_time&) const = default;
};

using any = std::variant<request_permit, release_permit, report_prefill_done, report_token_time>;

} // namespace to_control

/// Messages from the control duty to the traffic duty.
namespace to_traffic {

/// The configuration now in force.
struct config
{
    std::shared_ptr<const site_config> site;
    bool operator==(const config&) const = default;
};

/// The IP addresses of leaving hosts; plain calls are no longer sent to endpoints there.
struct leaving_hosts
{
    std::vector<std::string> addresses;
    bool operator==(const leaving_hosts&) const = default;
};

using any = std::variant<permit_grant, permit_refusal, config, leaving_hosts>;

} // namespace to_traffic

using control_ring = bounded_ring<to_control::any>;
using traffic_ring = bounded_ring<to_traffic::any>;

/// Messages that a ring between the two duties can queue.
inline constexpr std::size_t ring_capacity = 65'536;

} // namespace radishstep
