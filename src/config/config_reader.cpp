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
constexpr std::int64_t max_span_ms = 86'400'000;
constexpr std::int64_t max_tokens = 10'000'000;
constexpr std::int64_t max_share = 1'000;

std::string join(const std::string& prefix, std::string_view key)
{
    return prefix.empty() ? std::string{key} : prefix + "." + std::string{key};
}

/// Collects findings and knows from which file each node came.
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

/// Puts the overlay's values over the base's; a value that says the same again gets a warning.
void apply_overlay(toml::table& base, const toml::table& overlay, const std::string& prefix, finding_list& list)
{
    for (const auto& [key, value] : overlay) {
        const std::string path = join(prefix, key.str());
        toml::node* const below = base.get(key);
        if (below != nullptr && below->is_table() && value.is_table()) {
            apply_overlay(*below->as_table(), *value.as_table(), path, list);
            continue;
        }
        const bool repeats = below != nullptr && toml::node_view<const toml::node>{below} == toml::node_view{&value};
        if (repeats)
            list.add(&value, path, "the overlay repeats the base's value", "take the line out of the overlay", false);
        base.insert_or_assign(key, value);
    }
}

/// Reads the keys of one table, with a finding for each that is missing, wrong or unknown.
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
            if (!this->seen.contains(std::string{key.str()}))
                this->list.add(&value, join(this->path, key.str()), "unknown key",
                               "correct the spelling or take it out; docs/CONFIGURATION.md lists the keys");
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
        this->wrong(*node, key, "is not a text", "write it in quotes");
        return {};
    }

    std::string text_or(const std::string& key, std::string fallback)
    {
        return this->find(key) == nullptr ? std::move(fallback) : this->text(key);
    }

    std::int64_t number_or(const std::string& key, std::int64_t fallback, std::int64_t least, std::int64_t most)
    {
        const toml::node* const node = this->find(key);
        if (node == nullptr)
            return fallback;
        const auto value = node->value_exact<std::int64_t>();
        if (value && *value >= least && *value <= most)
            return *value;
        this->wrong(*node, key, "is out of range",
                    "write a whole number from " + std::to_string(least) + " to " + std::to_string(most));
        return fallback;
    }

    bool flag_or(const std::string& key, bool fallback)
    {
        const toml::node* const node = this->find(key);
        if (node == nullptr)
            return fallback;
        if (const auto value = node->value_exact<bool>())
            return *value;
        this->wrong(*node, key, "is not a truth value", "write true or false");
        return fallback;
    }

    std::vector<std::string> texts_or_none(const std::string& key)
    {
        std::vector<std::string> values;
        const toml::node* const node = this->find(key);
        if (node == nullptr)
            return values;
        const toml::array* const items = node->as_array();
        if (items == nullptr) {
            this->wrong(*node, key, "is not a list", "write it as [\"a\", \"b\"]");
            return values;
        }
        for (const toml::node& item : *items) {
            if (const auto value = item.value_exact<std::string>())
                values.push_back(*value);
            else
                this->wrong(item, key, "holds something that is not a text", "write each entry in quotes");
        }
        return values;
    }

    /// Calls `read` with the name and table of each table below `key`.
    template <typename Read>
    void each_table(const std::string& key, Read read)
    {
        const toml::node* const node = this->find(key);
        if (node == nullptr)
            return;
        const std::string below = join(this->path, key);
        const toml::table* const tables = node->as_table();
        if (tables == nullptr) {
            this->wrong(*node, key, "is not a table", "write it as [" + below + ".NAME]");
            return;
        }
        for (const auto& [name, value] : *tables) {
            if (const toml::table* const entry = value.as_table())
                read(std::string{name.str()}, *entry, join(below, name.str()));
            else
                this->list.add(&value, join(below, name.str()), "is not a table",
                               "write it as [" + below + "." + std::string{name.str()} + "]");
        }
    }

    void wrong(const toml::node& node, const std::string& key, std::string message, std::string remedy)
    {
        this->list.add(&node, join(this->path, key), std::move(message), std::move(remedy));
    }

    const toml::node* find(const std::string& key)
    {
        this->seen.insert(key);
        return this->table.get(key);
    }

    const toml::table& source() const { return this->table; }

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
    std::set<std::string> seen;
};

/// Reads a whole site, table by table.
class site_reader
{
public:
    explicit site_reader(finding_list& list) : list(list) {}

    site_config read(const toml::table& root)
    {
        table_reader reader{root, "", this->list};
        this->site.region = reader.text("region");
        this->site.zones = reader.texts_or_none("zones");
        reader.each_table("pools", [this](const auto& name, const auto& table, const auto& path) {
            this->read_pool(name, table, path);
        });
        reader.each_table("services", [this](const auto& name, const auto& table, const auto& path) {
            this->read_service(name, table, path);
        });
        reader.each_table("clients", [this](const auto& name, const auto& table, const auto& path) {
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
        pool.models = reader.texts_or_none("models");
        pool.first_token_target = this->span(reader, "first_token_target_ms", pool.first_token_target);
        pool.token_target = this->span(reader, "token_target_ms", pool.token_target);
        pool.batch_patience = this->span(reader, "batch_patience_ms", pool.batch_patience);
        pool.request_deadline = this->span(reader, "request_deadline_ms", pool.request_deadline);
        pool.block_tokens = static_cast<int>(reader.number_or("block_tokens", pool.block_tokens, 1, max_tokens));
        pool.max_prompt_tokens =
            static_cast<int>(reader.number_or("max_prompt_tokens", pool.max_prompt_tokens, 1, max_tokens));
        pool.max_answer_tokens =
            static_cast<int>(reader.number_or("max_answer_tokens", pool.max_answer_tokens, 1, max_tokens));
        reader.each_table("endpoints", [&](const auto& endpoint, const auto& entry, const auto& below) {
            pool.endpoints.push_back(this->read_endpoint(endpoint, entry, below, false));
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
        service.non_idempotent_methods = reader.texts_or_none("non_idempotent_methods");
        service.call_time = this->span(reader, "call_time_ms", service.call_time);
        reader.each_table("endpoints", [&](const auto& endpoint, const auto& entry, const auto& below) {
            service.endpoints.push_back(this->read_endpoint(endpoint, entry, below, true));
        });
        if (!service.path.starts_with('/') || service.path.starts_with("/v1/"))
            this->list.add(table.get("path"), path + ".path", "is not a free path",
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
        endpoint.checks_fence = reader.flag_or("checks_fence", false);
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
            reader.wrong(reader.source(), "role", "is neither prefill nor decode", "write \"prefill\" or \"decode\"");
        return endpoint_role::prefill;
    }

    void read_client(const std::string& name, const toml::table& table, const std::string& path)
    {
        table_reader reader{table, path, this->list};
        client_config client;
        client.name = name;
        client.key_sha256 = reader.text("key_sha256");
        client.pools = reader.texts_or_none("pools");
        client.services = reader.texts_or_none("services");
        client.share = static_cast<int>(reader.number_or("share", 1, 1, max_share));
        const std::string priority = reader.text_or("priority", "interactive");
        if (priority == "batch")
            client.priority = client_priority::batch;
        else if (priority != "interactive")
            reader.wrong(table, "priority", "is neither interactive nor batch", "write \"interactive\" or \"batch\"");
        constexpr std::size_t digest_digits = 64;
        if (client.key_sha256.size() != digest_digits)
            reader.wrong(table, "key_sha256", "is not a SHA-256 in hexadecimal", "run: radishctl key hash");
        for (const std::string& pool : client.pools) {
            if (this->site.find_pool(pool) == nullptr)
                reader.wrong(table, "pools", "there is no pool '" + pool + "'", "correct it or add the pool");
        }
        for (const std::string& service : client.services) {
            if (this->site.find_service(service) == nullptr)
                reader.wrong(table, "services", "there is no service '" + service + "'",
                             "correct it or add the service");
        }
        this->site.clients.push_back(std::move(client));
    }

    std::chrono::milliseconds span(table_reader& reader, const std::string& key, std::chrono::milliseconds fallback)
    {
        return std::chrono::milliseconds{reader.number_or(key, fallback.count(), 1, max_span_ms)};
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
        if (const toml::table* const below = value.as_table()) {
            flatten(*below, path, flat);
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

bool config_reading::is_usable() const
{
    return std::none_of(this->findings.begin(), this->findings.end(),
                        [](const config_finding& finding) { return finding.is_error; });
}

config_reading read_config(const std::string& site, const config_text& base, const config_text& overlay)
{
    finding_list list;
    config_reading reading;
    auto root = parse(base, list);
    const auto over = parse(overlay, list);
    if (root && over) {
        apply_overlay(*root, *over, "", list);
        reading.config = site_reader{list}.read(*root);
    }
    reading.config.site = site;
    reading.findings = std::move(list.findings);
    return reading;
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
