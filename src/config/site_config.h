#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishstep {

enum class endpoint_role { prefill, decode, plain };

/// Returns the role's name in configuration files.
std::string_view to_string(endpoint_role role);

/// One engine or plain-service process that requests are routed to.
struct endpoint_config
{
    std::string name;
    std::string zone;
    endpoint_role role = endpoint_role::plain;
    std::string address;
    /// Number of requests that the endpoint serves at a time.
    int slots = 1;
    /// Number of KV-cache blocks; 0 means that they are not limited.
    int blocks = 0;
    /// Read from the configuration, but not used in routing.
    bool checks_fence = false;

    bool operator==(const endpoint_config&) const = default;

    /// Returns the IP address without the port.
    std::string ip() const;
};

/// The prefill and decode endpoints that serve the same models, and the limits of their requests.
struct pool_config
{
    std::string name;
    std::vector<std::string> models;
    std::vector<endpoint_config> endpoints;
    /// Target of the time to the first token. Interactive requests also wait this long for a permit.
    std::chrono::milliseconds first_token_target{1'100};
    /// Target of the time per token after the first; read from the configuration, but not used in routing.
    std::chrono::milliseconds token_target{70};
    /// How long batch requests wait for a permit.
    std::chrono::milliseconds batch_patience{60'000};
    std::chrono::milliseconds request_deadline{120'000};
    /// Number of tokens per KV-cache block.
    int block_tokens = 16;
    int max_prompt_tokens = 32'768;
    int max_answer_tokens = 4'096;

    bool operator==(const pool_config&) const = default;
};

/// A plain HTTP service, selected by the path of the call.
struct service_config
{
    std::string name;
    std::string path;
    std::vector<endpoint_config> endpoints;
    std::vector<std::string> non_idempotent_methods;
    /// Time without data from the endpoint after which a call fails.
    std::chrono::milliseconds call_idle_timeout{5'000};

    bool operator==(const service_config&) const = default;
};

/// The order in which waiting requests are served. Every attempt after a request's first has the priority `resumed`,
/// which is first, as work was already spent on the request.
enum class client_priority { resumed = 0, interactive = 1, batch = 2 };

/// An account that may call, with the pools and services that it may use.
struct client_config
{
    std::string name;
    std::string key_sha256;
    std::vector<std::string> pools;
    std::vector<std::string> services;
    client_priority priority = client_priority::interactive;
    /// The client's weight in the fair queue of a cell.
    int share = 1;

    bool operator==(const client_config&) const = default;
};

/// The configuration of one site: the base document with the site's overlay applied.
struct site_config
{
    std::int64_t version = 0;
    std::string site;
    std::string region;
    std::vector<std::string> zones;
    std::vector<pool_config> pools;
    std::vector<service_config> services;
    std::vector<client_config> clients;

    bool operator==(const site_config&) const = default;

    /// Returns the pool that serves `model`, or nullptr.
    const pool_config* find_pool_for_model(std::string_view model) const;

    /// Returns the pool or service of that name, or nullptr.
    const pool_config* find_pool(std::string_view name) const;
    const service_config* find_service(std::string_view name) const;

    /// Returns the service whose path is the longest prefix of `path`, or nullptr.
    const service_config* find_service_for_path(std::string_view path) const;

    /// Returns the client whose key is `key`, or nullptr.
    const client_config* find_client_by_key(std::string_view key) const;
};

/// Returns true when `names` contains `name`.
bool contains(const std::vector<std::string>& names, std::string_view name);

} // namespace radishstep
