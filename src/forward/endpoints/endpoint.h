#pragma once

#include <cstdint>
#include <string>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Which phase of a request an endpoint serves; `none` for plain services, which have no phases.
enum class endpoint_phase { none, prefill, decode };

/// An endpoint as registered in the key-value store.
struct endpoint
{
    std::string id;
    /// Start time of this incarnation in milliseconds since the Unix epoch; a restarted endpoint may keep its id.
    std::int64_t started_ms = 0;
    std::string service;
    /// "IP:port"; another service may reuse it after the endpoint has stopped.
    std::string address;
    std::string zone;
    int slots = 1;
    bool is_draining = false;
    endpoint_phase phase = endpoint_phase::none;

    bool operator==(const endpoint&) const = default;

    /// Returns the unique name of this incarnation, "ID@START"; it is never reused.
    std::string incarnation() const { return this->id + "@" + std::to_string(this->started_ms); }
};

} // namespace radishstep::forward
