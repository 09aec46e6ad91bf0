#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// One of the services that share a route's requests, in proportion to the weights.
struct weighted_service
{
    std::string service;
    unsigned weight = 1;

    bool operator==(const weighted_service&) const = default;
};

/// Where the requests of one host and path prefix go, and what may be done with them.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<weighted_service> services;
    /// The answer is a stream of events.
    bool is_stream = false;
    /// The request may run more than once; for a stream, it may go on at another endpoint.
    bool is_repeatable = false;
    /// The request is for a model engine, with a prompt to read before its answer.
    bool is_model = false;
    /// On how many endpoints one request may run.
    unsigned max_endpoints = 1;
    milliseconds timeout{30'000};
    /// Within which the answer, or a stream's first event, is of full use to the caller.
    milliseconds latency_objective{1'000};
    /// The longest pause between two events with which a stream is still on time; 0: any.
    milliseconds pause_objective{0};
    /// 0 is the most urgent.
    int priority = 0;

    bool operator==(const route&) const = default;
};

/// What the configuration says of a service's endpoints.
struct service
{
    std::string name;
    /// Tokens that fit into an engine's memory; 0 for a plain service.
    std::int64_t kv_capacity_tokens = 0;
    /// Tokens in one event of a stream.
    std::int64_t tokens_per_event = 1;
    /// How long a prefill result is kept for the decode engine that fetches it.
    milliseconds prefill_lifetime{500};
    /// How long an engine is away when its phase changes.
    milliseconds phase_change_time{6'000};

    bool operator==(const service&) const = default;
};

/// What a caller may send, and how long it may take over it.
struct caller_limits
{
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    milliseconds header_time{3'000};
    milliseconds idle_time{15'000};

    bool operator==(const caller_limits&) const = default;
};

/// One version of the operators' configuration.
struct forward_config
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;

    bool operator==(const forward_config&) const = default;

    /// Returns the route of `host` with the longest prefix that begins `path`, or nullptr.
    const route* find_route(std::string_view host, std::string_view path) const;

    /// Returns the service of that name, or nullptr.
    const service* find_service(std::string_view name) const;
};

using config_ptr = std::shared_ptr<const forward_config>;

/// Returns the service that a request goes to; `draw` is uniform in [0, 1).
const std::string& choose_service(const route& way, double draw);

} // namespace radishstep::forward
