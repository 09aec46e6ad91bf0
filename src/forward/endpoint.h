#pragma once

#include <cstdint>
#include <string>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Which part of a request an endpoint does.
enum class endpoint_phase { whole, prefill, decode };

/// One discovered endpoint, as it announces itself.
struct endpoint
{
    std::string id;
    /// When this incarnation started, in milliseconds since 1970; an endpoint that starts again may keep its id.
    std::int64_t started_ms = 0;
    std::string service;
    /// "IP:port"; reused by other services once the endpoint is gone.
    std::string address;
    std::string zone;
    int slots = 1;
    bool is_draining = false;
    endpoint_phase phase = endpoint_phase::whole;

    bool operator==(const endpoint&) const = default;

    /// Returns the name of this incarnation, which no other endpoint ever has.
    std::string incarnation() const { return this->id + "@" + std::to_string(this->started_ms); }
};

} // namespace radishstep::forward
