#include "config/config_reader.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

#include <toml++/toml.h>

#include "http/server.h"

namespace radishstep {

namespace {

constexpr std::int64_t max_slots = 4'096;
constexpr std::int64_t max_blocks = 10'000'000;
constexpr std::int64_t max_duration_ms = 86'400'000;
constexpr std::int64_t max_tokens = 10'000'000;
constexpr std::int64_t max_share = 1'000;

std::string join(const std::string& prefix, std::string_view key)
{
    return prefix.empty() ? std::string{key} : prefix + "." + std::string{key};
}

/// Collects findings, each with the file and line of its TOML node.
class finding_list
{
public:
    void add(const toml::node* node, const std::string& key, std::string message, std::string remedy,
             bool is_error = true)
    {
        config_finding finding{"", 0, key, std::move(message), std::move(remedy), is_error};
        if (node != nullptr) {
            const toml::source_region& source = node->source();
            finding.file = source.path ? *source.path : "";
            finding.line = source.begin.line;
        }
        this->findings.push_back(std::move(finding));
    }

    std::vector<config_finding> findings;
};

std::optional<toml::table> parse(const config_text& source, finding_list& list)
{
    try {
        return toml::parse(source.text, source.file);
    } catch (const toml::parse_error& failure) {
        config_finding finding;
        finding.file = source.file;
        finding.line = failure.source().begin.line;
        finding.message = std::string{failure.description()};
        finding.remedy = "write valid TOML 1.0";
        list.findings.push_back(std::move(finding));
        return std::nullopt;
    }
}

/// Replaces base values by the overlay's; adds a warning for each overlay value equal to the base's.
void apply_overlay(toml::table& base, const toml::table& overlay, const std::string& prefix, finding_list& list)
{
    for (const auto& [key, value] : overlay) {
        const std::string path = join(prefix, key.str());
        toml::node* const existing = base.get(key);
        if (existing != nullptr && existing->is_table() && value.is_table()) {
            apply_overlay(*existing->as_table(), *value.as_table(), path, list);
            continue;
        }
        const bool repeats =
            existing != nullptr && toml::node_view<const toml::node>{existing} == toml::node_view{&value};
        if (repeats)
            list.add(&value, path, "the overlay repeats the base's value", "remove the line from the overlay", false);
        base.insert_or_assign(key, value);
    }
}

/// Reads the keys of one table and adds a finding for each key that is missing, invalid or unknown. The
/// destructor reports the unknown keys: those that were never looked up.
class table_reader
{
public:
    table_reader(const toml::table& table, std::string path, finding_list& list)
        : table(table), path(std::move(path)), list(list)
    {
    }

    ~table_reader()
    {
        for (const auto& [key, value] : this->table) {
            if (!this->looked_up_keys.contains(std::string{key.str()}))
                this->list.add(&value, join(this->path, key.str()), "unknown key",
                               "correct the spelling or remove the key; docs/CONFIGURATION.md lists the keys");
        }
    }

    table_reader(const table_reader&) = delete;
    table_reader& operator=(const table_reader&) = delete;

    std::string text(const std::string& key)
    {
        const toml::node* const node = this->require(key);
        if (node == nullptr)
            return {};
        if (const auto value = node->value_exact<std::string>(); value && !value->empty())
            return *value;
        this->add_error(*node, key, "is not a string or is empty", "write it in quotes");
        return {};
    }

    std::string text_or(const std::string& key, std::string fallback)
    {
        return this->find(key) == nullptr ? std::move(fallback) : this->text(key);
    }

    std::int64_t number_or(const std::string& key, std::int64_t fallback, std::int64_t min_value,
                           std::int64_t max_value)
    {
        const toml::node* const node = this->find(key);
        if (node == nullptr)
            return fallback;
        const auto value = node->value_exact<std::int64_t>();
        if (value && *value >= min_value && *value <= max_value)
            return *value;
        this->add_error(*node, key, "is out of range",
                        "write a whole number from " + std::to_string(min_value) + " to " + std::to_string(max_value));
        return fallback;
    }

    bool bool_or(const std::string& key, bool fallback)
    {
        const toml::node* const node = this->find(key);
        if (node == nullptr)
            return fallback;
        if (const auto value = node->value_exact<bool>())
            return *value;
        this->add_error(*node, key, "is not a boolean", "write true or false");
        return fallback;
    }

    std::vector<std::string> texts_or_empty(const std::string& key)
    {
        std::vector<std::string> values;
        const toml::node* const node = this->find(key);
        if (node == nullptr)
            return values;
        const toml::array* const items = node->as_array();
        if (items == nullptr) {
            this->add_error(*node, key, "is not a list", "write it as [\"a\", \"b\"]");
            return values;
        }
        for (const toml::node& item : *items) {
            if (const auto value = item.value_exact<std::string>())
                values.push_back(*value);
            else
                this->add_error(item, key, "contains an element that is not a string", "write each element in quotes");
        }
        return values;
    }

    /// Calls `read` with the name, table and path of each table under `key`.
    template <typename Read>
    void for_each_table(const std::string& key, Read read)
    {
        const toml::node* const node = this->find(key);
        if (node == nullptr)
            return;
        const std::string child_path = join(this->path, key);
        const toml::table* const tables = node->as_table();
        if (tables == nullptr) {
            this->add_error(*node, key, "is not a table", "write it as [" + child_path + ".NAME]");
            return;
        }
        for (const auto& [name, value] : *tables) {
            if (const toml::table* const entry = value.as_table())
                read(std::string{name.str()}, *entry, join(child_path, name.str()));
            else
                this->list.add(&value, join(child_path, name.str()), "is not a table",
                               "write it as [" + child_path + "." + std::string{name.str()} + "]");
        }
    }

    void add_error(const toml::node& node, const std::string& key, std::string message, std::string remedy)
    {
        this->list.add(&node, join(this->path, key), std::move(message), std::move(remedy));
    }

    const toml::node* find(const std::string& key)
    {
        this->looked_up_keys.insert(key);
        return this->table.get(key);
    }

    const toml::table& get_table() const { return this->table; }

private:
    const toml::node* require(const std::string& key)
    {
        const toml::node* const node = this->find(key);
        if (node == nullptr)
            this->list.add(&this->table, join(this->path, key), "is missing", "add it");
        return node;
    }

    const toml::table& table;
    std::string path;
    finding_list& list;
    std::set<std::string> looked_up_keys;
};

/// Reads the configuration of a site from the merged TOML table.
class site_reader
{
public:
    explicit site_reader(finding_list& list) : list(list) {}

    site_config read(const toml::table& root)
    {
        table_reader reader{root, "", this->list};
        this->site.region = reader.text("region");
        this->site.zones = reader.texts_or_empty("zones");
        reader.for_each_table("pools", [this](const auto& name, const auto& table, const auto& path) {
            this->read_pool(name, table, path);
        });
        reader.for_each_table("services", [this](const auto& name, const auto& table, const auto& path) {
            this->read_service(name, table, path);
        });
        reader.for_each_table("clients", [this](const auto& name, const auto& table, const auto& path) {
            this->read_client(name, table, path);
        });
        return this->site;
    }

private:
    void read_pool(const std::string& name, const toml::table& table, const std::string& path)
    {
        table_reader reader{table, path, this->list};
        pool_config pool;
        pool.name = name;
        pool.models = reader.texts_or_empty("models");
        pool.first_token_target = this->read_duration(reader, "first_token_target_ms", pool.first_token_target);
        pool.token_target = this->read_duration(reader, "token_target_ms", pool.token_target);
        pool.batch_patience = this->read_duration(reader, "batch_patience_ms", pool.batch_patience);
        pool.request_deadline = this->read_duration(reader, "request_deadline_ms", pool.request_deadline);
        pool.block_tokens = static_cast<int>(reader.number_or("block_tokens", pool.block_tokens, 1, max_tokens));
        pool.max_prompt_tokens =
            static_cast<int>(reader.number_or("max_prompt_tokens", pool.max_prompt_tokens, 1, max_tokens));
        pool.max_answer_tokens =
            static_cast<int>(reader.number_or("max_answer_tokens", pool.max_answer_tokens, 1, max_tokens));
        reader.for_each_table("endpoints", [&](const auto& endpoint, const auto& entry, const auto& child_path) {
            pool.endpoints.push_back(this->read_endpoint(endpoint, entry, child_path, false));
        });
        this->check_pool(pool, table, path);
        this->site.pools.push_back(std::move(pool));
    }

    void check_pool(const pool_config& pool, const toml::table& table, const std::string& path)
    {
        if (pool.models.empty())
            this->list.add(&table, path + ".models", "is empty", "name at least one model");
        for (const std::string& model : pool.models) {
            if (!this->models.insert(model).second)
                this->list.add(&table, path + ".models", "model '" + model + "' is served by another pool too",
                               "list each model in one pool");
        }
        for (const endpoint_role role : {endpoint_role::prefill, endpoint_role::decode}) {
            const bool has_role = std::any_of(pool.endpoints.begin(), pool.endpoints.end(),
                                              [role](const auto& endpoint) { return endpoint.role == role; });
            if (!has_role)
                this->list.add(&table, path + ".endpoints", "has no " + std::string{to_string(role)} + " endpoint",
                               "add at least one of each role");
        }
    }

    void read_service(const std::string& name, const toml::table& table, const std::string& path)
    {
        table_reader reader{table, path, this->list};
        service_config service;
        service.name = name;
        service.path = reader.text("path");
        service.non_idempotent_methods = reader.texts_or_empty("non_idempotent_methods");
        service.call_idle_timeout = this->read_duration(reader, "call_time_ms", service.call_idle_timeout);
        reader.for_each_table("endpoints", [&](const auto& endpoint, const auto& entry, const auto& child_path) {
            service.endpoints.push_back(this->read_endpoint(endpoint, entry, child_path, true));
        });
        if (!service.path.starts_with('/') || service.path.starts_with("/v1/"))
            this->list.add(table.get("path"), path + ".path", "does not start with /, or starts with the reserved /v1/",
                           "start it with / but not with /v1/");
        if (service.endpoints.empty())
            this->list.add(&table, path + ".endpoints", "is empty", "add at least one endpoint");
        this->site.services.push_back(std::move(service));
    }

    endpoint_config read_endpoint(const std::string& name, const toml::table& table, const std::string& path,
                                  bool is_plain)
    {
        table_reader reader{table, path, this->list};
        endpoint_config endpoint;
        endpoint.name = name;
        endpoint.zone = reader.text("zone");
        endpoint.address = reader.text("address");
        endpoint.slots = static_cast<int>(reader.number_or("slots", is_plain ? 64 : 1, 1, max_slots));
        endpoint.blocks = static_cast<int>(reader.number_or("blocks", 0, 0, max_blocks));
        endpoint.checks_fence = reader.bool_or("checks_fence", false);
        if (!is_plain)
            endpoint.role = this->read_role(reader);
        if (const auto parsed = http::parse_address(endpoint.address); !parsed)
            this->list.add(table.get("address"), path + ".address", parsed.error().message, parsed.error().remedy);
        if (!contains(this->site.zones, endpoint.zone))
            this->list.add(table.get("zone"), path + ".zone", "zone '" + endpoint.zone + "' is not in zones",
                           "add it to zones or correct it");
        if (!this->endpoints.insert(name).second)
            this->list.add(&table, path, "another endpoint has the same name", "give each endpoint its own name");
        return endpoint;
    }

    endpoint_role read_role(table_reader& reader)
    {
        const std::string role = reader.text("role");
        if (role == "decode")
            return endpoint_role::decode;
        if (role != "prefill")
            reader.add_error(reader.get_table(), "role", "is neither prefill nor decode",
                             "write \"prefill\" or \"decode\"");
        return endpoint_role::prefill;
    }

    void read_client(const std::string& name, const toml::table& table, const std::string& path)
    {
        table_reader reader{table, path, this->list};
        client_config client;
        client.name = name;
        client.key_sha256 = reader.text("key_sha256");
        client.pools = reader.texts_or_empty("pools");
        client.services = reader.texts_or_empty("services");
        client.share = static_cast<int>(reader.number_or("share", 1, 1, max_share));
        const std::string priority = reader.text_or("priority", "interactive");
        if (priority == "batch")
            client.priority = client_priority::batch;
        else if (priority != "interactive")
            reader.add_error(table, "priority", "is neither interactive nor batch",
                             "write \"interactive\" or \"batch\"");
        constexpr std::size_t digest_digits = 64;
        if (client.key_sha256.size() != digest_digits)
            reader.add_error(table, "key_sha256", "is not 64 digits long, as a SHA-256 in hexadecimal is",
                             "run: radishctl key hash");
        for (const std::string& pool : client.pools) {
            if (this->site.find_pool(pool) == nullptr)
                reader.add_error(table, "pools", "there is no pool '" + pool + "'", "correct it or add the pool");
        }
        for (const std::string& service : client.services) {
            if (this->site.find_service(service) == nullptr)
                reader.add_error(table, "services", "there is no service '" + service + "'",
                                 "correct it or add the service");
        }
        this->site.clients.push_back(std::move(client));
    }

    std::chrono::milliseconds read_duration(table_reader& reader, const std::string& key,
                                            std::chrono::milliseconds fallback)
    {
        return std::chrono::milliseconds{reader.number_or(key, fallback.count(), 1, max_duration_ms)};
    }

    finding_list& list;
    site_config site;
    std::set<std::string> models;
    std::set<std::string> endpoints;
};

void flatten(const toml::table& table, const std::string& prefix, std::map<std::string, std::string>& flat)
{
    for (const auto& [key, value] : table) {
        const std::string path = join(prefix, key.str());
        if (const toml::table* const child = value.as_table()) {
            flatten(*child, path, flat);
            continue;
        }
        std::ostringstream text;
        value.visit([&text](const auto& node) { text << node; });
        flat[path] = text.str();
    }
}

std::map<std::string, std::string> flatten(const config_text& source)
{
    std::map<std::string, std::string> flat;
    finding_list ignored;
    if (const auto table = parse(source, ignored))
        flatten(*table, "", flat);
    return flat;
}

} // namespace

std::string describe(const config_finding& finding)
{
    std::string text = finding.file + ":" + std::to_string(finding.line) + ": ";
    text += finding.is_error ? "error: " : "warning: ";
    if (!finding.key.empty())
        text += finding.key + ": ";
    return text + finding.message + " (remedy: " + finding.remedy + ")";
}

bool config_read_result::is_usable() const
{
    return std::none_of(this->findings.begin(), this->findings.end(),
                        [](const config_finding& finding) { return finding.is_error; });
}

config_read_result read_config(const std::string& site, const config_text& base, const config_text& overlay)
{
    finding_list list;
    config_read_result read_result;
    auto root = parse(base, list);
    const auto overlay_table = parse(overlay, list);
    if (root && overlay_table) {
        apply_overlay(*root, *overlay_table, "", list);
        read_result.config = site_reader{list}.read(*root);
    }
    read_result.config.site = site;
    read_result.findings = std::move(list.findings);
    return read_result;
}

std::string config_difference(const config_text& before, const config_text& after)
{
    const auto old_keys = flatten(before);
    const auto new_keys = flatten(after);
    std::string text;
    for (const auto& [key, value] : old_keys) {
        const auto match = new_keys.find(key);
        if (match == new_keys.end() || match->second != value)
            text += "- " + key + " = " + value + "\n";
        if (match != new_keys.end() && match->second != value)
            text += "+ " + key + " = " + match->second + "\n";
    }
    for (const auto& [key, value] : new_keys) {
        if (!old_keys.contains(key))
            text += "+ " + key + " = " + value + "\n";
    }
    return text;
}

} // namespace radishstep
