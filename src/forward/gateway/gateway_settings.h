#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "base/runtime_clock.h"
#include "forward/fleet/retry_budget.h"

namespace radishstep::forward {

/// Settings of a gateway process, read from the settings file of its host.
struct gateway_settings
{
    /// Name of this host, unique within the fleet.
    std::string host;
    std::string zone;
    std::string ip;
    /// The three addresses are written "IP:port".
    std::string callers_address;
    std::string ready_address;
    std::string store_address;
    /// UDP port for load reports between hosts; the same on all hosts.
    std::uint16_t peer_port = 0;
    /// TCP port on which the process serves its metrics.
    std::uint16_t metrics_port = 0;
    retry_limits retries;
    /// Memory and descriptors that the process may use; 0 sets no bound.
    std::size_t memory_bytes = 0;
    std::size_t descriptors = 0;
    /// Time from the stop signal until the process is killed.
    milliseconds shutdown_grace{8'000};
    /// Longest time from an endpoint's announcement that it drains until it gets no new work.
    milliseconds max_drain_propagation{2'000};
    /// How long the previous leader must have sent no phase orders before the next leader may send any.
    milliseconds leader_handover_delay{3'000};
    /// Shortest lease that the key-value store grants.
    milliseconds min_lease_time{1'000};

    bool operator==(const gateway_settings&) const = default;

    /// Returns the address on which this host receives load reports, as "IP:port".
    std::string peer_address() const { return this->ip + ":" + std::to_string(this->peer_port); }

    /// Returns the address on which the metrics are served, as "IP:port".
    std::string metrics_address() const { return this->ip + ":" + std::to_string(this->metrics_port); }
};

} // namespace radishstep::forward
