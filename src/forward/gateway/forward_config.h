#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/account_table.h"
#include "base/runtime_clock.h"

namespace radishstep::forward {

/// A service that receives a share of a route's requests in proportion to its weight.
struct weighted_service
{
    std::string service;
    unsigned weight = 1;

    bool operator==(const weighted_service&) const = default;
};

/// Routing rule and request policy for one HTTP host and path prefix.
struct route
{
    std::string name;
    std::string host;
    /// Path prefix that starts and ends with a slash.
    std::string prefix;
    std::vector<weighted_service> services;
    /// The response is a stream of server-sent events.
    bool is_stream = false;
    /// The request may run more than once; a stream may be resumed on another endpoint.
    bool is_repeatable = false;
    /// The request goes to model engines, with a prefill and a decode phase.
    bool is_model = false;
    /// Maximum number of endpoints on which one request may run.
    unsigned max_endpoints = 1;
    milliseconds timeout{30'000};
    /// Latency objective for the response or for a stream's first event.
    milliseconds latency_objective{1'000};
    /// Longest gap between two events with which a stream still counts as on time; 0 for no limit.
    milliseconds gap_objective{0};
    /// Queue priority; 0 is the most urgent.
    int priority = 0;
    /// Requests need no client account.
    bool is_anonymous = false;

    bool operator==(const route&) const = default;
};

/// Configured properties of a service's endpoints.
struct service
{
    std::string name;
    /// KV cache capacity of an engine in tokens; 0 for a plain service.
    std::int64_t kv_capacity_tokens = 0;
    /// Tokens per stream event.
    std::int64_t tokens_per_event = 1;
    /// How long an engine keeps a prefill result for the decode engine that fetches it.
    milliseconds prefill_lifetime{500};
    /// How long an engine is unavailable while it changes its phase.
    milliseconds phase_change_time{6'000};

    bool operator==(const service&) const = default;
};

/// Size and time limits for incoming requests.
struct caller_limits
{
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    milliseconds header_timeout{3'000};
    milliseconds idle_timeout{15'000};

    bool operator==(const caller_limits&) const = default;
};

/// One version of the configuration.
struct forward_config
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    /// Empty if requests need no client account.
    accounts::account_table accounts;

    bool operator==(const forward_config&) const = default;

    /// Returns the route of `host` with the longest prefix that matches `path`, or nullptr.
    const route* find_route(std::string_view host, std::string_view path) const;

    /// Returns the highest priority number of all routes, that of the least urgent ones.
    int lowest_priority() const;

    /// Returns the service with that name, or nullptr.
    const service* find_service(std::string_view name) const;
};

using config_ptr = std::shared_ptr<const forward_config>;

/// Returns a service of the route, picked by weight; `draw` is uniform in [0, 1).
const std::string& choose_service(const route& matched_route, double draw);

} // namespace radishstep::forward
