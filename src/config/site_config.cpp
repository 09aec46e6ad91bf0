#include "config/site_config.h"

#include <algorithm>

#include "base/hash.h"

namespace radishstep {

namespace {

template <typename Item>
const Item* find_named(const std::vector<Item>& items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(), [name](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

bool is_path_prefix(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

} // namespace

std::string_view to_string(endpoint_role role)
{
    switch (role) {
    case endpoint_role::prefill:
        return "prefill";
    case endpoint_role::decode:
        return "decode";
    case endpoint_role::plain:
        break;
    }
    return "plain";
}

std::string endpoint_config::ip() const
{
    return this->address.substr(0, this->address.rfind(':'));
}

const pool_config* site_config::find_pool_for_model(std::string_view model) const
{
    for (const pool_config& pool : this->pools) {
        if (contains(pool.models, model))
            return &pool;
    }
    return nullptr;
}

const pool_config* site_config::find_pool(std::string_view name) const
{
    return find_named(this->pools, name);
}

const service_config* site_config::find_service(std::string_view name) const
{
    return find_named(this->services, name);
}

const service_config* site_config::find_service_for_path(std::string_view path) const
{
    const service_config* longest = nullptr;
    for (const service_config& service : this->services) {
        if (!is_path_prefix(service.path, path))
            continue;
        if (longest == nullptr || service.path.size() > longest->path.size())
            longest = &service;
    }
    return longest;
}

const client_config* site_config::find_client_by_key(std::string_view key) const
{
    const std::string digest = sha256_hex(key);
    for (const client_config& client : this->clients) {
        if (client.key_sha256 == digest)
            return &client;
    }
    return nullptr;
}

bool contains(const std::vector<std::string>& names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace radishstep
