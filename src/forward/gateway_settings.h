#pragma once

#include <cstdint>
#include <string>

#include "base/runtime_clock.h"
#include "forward/retry_budget.h"

namespace radishstep::forward {

/// What a gateway process is told by the host it runs on.
struct gateway_settings
{
    /// This host's name in the fleet.
    std::string host;
    std::string zone;
    std::string ip;
    /// Addresses are "IP:port".
    std::string callers_address;
    std::string ready_address;
    std::string store_address;
    /// Where hosts tell each other their loads, over UDP; the same port on all hosts.
    std::uint16_t peer_port = 0;
    /// Where the process serves its metrics, over TCP.
    std::uint16_t metrics_port = 0;
    retry_limits retries;
    /// From the request to stop until the process is killed.
    milliseconds shutdown_grace{8'000};
    /// From an endpoint's word that it drains until no new work may reach it.
    milliseconds max_drain_propagation{2'000};
    /// How long one host must have given no orders before another may.
    milliseconds leader_handover_delay{3'000};
    /// The shortest lease of the key-value service.
    milliseconds min_lease_time{1'000};

    bool operator==(const gateway_settings&) const = default;

    /// Returns where this host hears from other hosts, as "IP:port".
    std::string peer_address() const { return this->ip + ":" + std::to_string(this->peer_port); }

    /// Returns where the metrics are served, as "IP:port".
    std::string metrics_address() const { return this->ip + ":" + std::to_string(this->metrics_port); }
};

} // namespace radishstep::forward
