#include "radishctl/config_commands.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "base/pause.h"
#include "base/runtime_clock.h"
#include "base/text.h"
#include "config/config_document.h"
#include "radishctl/fleet_commands.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr int max_apply_attempts = 10;
constexpr milliseconds apply_retry_interval{300};
constexpr milliseconds version_poll_interval{100};
constexpr std::int64_t default_wait_ms = 6'000;

/// The document in force and its modify index in the key-value service, which a compare-and-swap must name.
struct stored_document
{
    config_document document;
    std::int64_t modify_index = 0;
};

result<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
        return fail(error_kind::bad_config, "cannot read " + path, "check the path");
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

/// Returns the base file and the overlay files (one SITE.toml for each site) that the command line names.
result<config_document> read_config_files(const command_context& context)
{
    const std::string base_path = context.settings.argument("--base");
    const std::string overlay_folder = context.settings.argument("--overlays");
    config_document document;
    const auto base = read_file(base_path);
    if (!base)
        return tl::unexpected{base.error()};
    document.base = *base;
    std::error_code failure;
    for (const auto& entry : std::filesystem::directory_iterator{overlay_folder, failure}) {
        if (entry.path().extension() != ".toml")
            continue;
        const auto overlay = read_file(entry.path().string());
        if (!overlay)
            return tl::unexpected{overlay.error()};
        document.overlays[entry.path().stem().string()] = *overlay;
    }
    if (failure || document.overlays.empty())
        return fail(error_kind::bad_config, "there is no overlay in '" + overlay_folder + "'",
                    "give --overlays a folder with one SITE.toml for each site");
    return document;
}

/// Prints the findings of all sites; returns whether the configuration of every site is usable.
bool print_findings(const command_context& context, const config_document& document)
{
    bool all_usable = true;
    const std::string base_path = context.settings.argument("--base");
    const std::filesystem::path folder{context.settings.argument("--overlays")};
    for (const auto& [site, overlay] : document.overlays) {
        const std::string overlay_path = (folder / (site + ".toml")).string();
        const config_read_result read_result = read_config(site, {base_path, document.base}, {overlay_path, overlay});
        for (const config_finding& finding : read_result.findings)
            std::cout << describe(finding) << "\n";
        std::cout << "site " << site << ": " << (read_result.is_usable() ? "usable" : "NOT usable") << "\n";
        all_usable = all_usable && read_result.is_usable();
    }
    return all_usable;
}

/// Returns the document in force; version 0 when none was applied yet.
asio::awaitable<result<stored_document>> read_head(command_context& context)
{
    const auto found = co_await context.key_value_client.get(config_head_key);
    if (!found)
        co_return tl::unexpected{found.error()};
    stored_document stored;
    if (!found->has_value())
        co_return stored;
    const auto parsed = parse_config_document((*found)->value);
    if (!parsed)
        co_return tl::unexpected{parsed.error()};
    stored.document = *parsed;
    stored.modify_index = (*found)->modify_index;
    co_return stored;
}

void print_difference(const config_document& before, const config_document& after)
{
    std::cout << config_difference({"base.toml", before.base}, {"base.toml", after.base});
    std::map<std::string, std::string> sites = before.overlays;
    sites.insert(after.overlays.begin(), after.overlays.end());
    for (const auto& [site, ignored] : sites) {
        const auto text_of = [&site = site](const config_document& document) {
            const auto found = document.overlays.find(site);
            return found == document.overlays.end() ? std::string{} : found->second;
        };
        const std::string change = config_difference({site, text_of(before)}, {site, text_of(after)});
        if (!change.empty())
            std::cout << "overlay " << site << ":\n" << change;
    }
}

int report_unknown_outcome()
{
    return report_error({error_kind::unavailable,
                         "the key-value service did not confirm whether the change was accepted",
                         "run radishctl config history when the service answers again"});
}

int report_conflict(const config_document& before, const config_document& accepted)
{
    std::cerr << "radishctl: conflict: version " << accepted.version << " by " << accepted.author << " ("
              << accepted.note << ") was accepted first (remedy: merge their change into your files and apply again)\n";
    std::cout << "their change:\n";
    print_difference(before, accepted);
    return exit_conflict;
}

int report_outdated_hosts(std::int64_t version, const result<std::vector<std::string>>& outdated_hosts)
{
    std::cerr << "radishctl: version " << version << " is accepted but not yet in force everywhere:";
    if (!outdated_hosts)
        std::cerr << " no broker answers";
    for (const std::string& host : outdated_hosts.value_or(std::vector<std::string>{}))
        std::cerr << " " << host;
    std::cerr << "\n";
    return exit_failed;
}

asio::awaitable<int> wait_until_in_force(command_context& context, std::int64_t version)
{
    const std::string wait_text = context.settings.argument("--wait-ms");
    const std::int64_t wait_ms = to_integer(wait_text).value_or(default_wait_ms);
    const time_point deadline = runtime_clock::now() + milliseconds{wait_ms};
    while (true) {
        const auto outdated_hosts = co_await find_outdated_hosts(context, version);
        if (outdated_hosts && outdated_hosts->empty()) {
            std::cout << "version " << version << " is in force on all hosts\n";
            co_return exit_done;
        }
        if (runtime_clock::now() >= deadline) {
            co_return report_outdated_hosts(version, outdated_hosts);
        }
        co_await pause_for(version_poll_interval);
    }
}

asio::awaitable<int> report_accepted_and_wait(command_context& context, std::int64_t version)
{
    std::cout << "accepted as version " << version << "\n";
    const int code = co_await wait_until_in_force(context, version);
    co_return code;
}

/// Saves the version that is about to be replaced under its own key, so that the history has no gap.
asio::awaitable<result<void>> save_to_history(command_context& context, config_document document)
{
    if (document.version == 0)
        co_return result<void>{};
    const std::string key = config_history_prefix + std::to_string(document.version);
    const auto written = co_await context.key_value_client.compare_and_swap(key, to_json(document), 0);
    if (!written)
        co_return tl::unexpected{written.error()};
    co_return result<void>{};
}

} // namespace

int config_check(const command_context& context)
{
    const auto document = read_config_files(context);
    if (!document)
        return report_error(document.error());
    return print_findings(context, *document) ? exit_done : exit_failed;
}

asio::awaitable<int> config_diff(command_context& context)
{
    const auto document = read_config_files(context);
    if (!document)
        co_return report_error(document.error());
    const auto head = co_await read_head(context);
    if (!head)
        co_return report_error(head.error());
    std::cout << "against version " << head->document.version << ":\n";
    print_difference(head->document, *document);
    co_return exit_done;
}

asio::awaitable<int> config_apply(command_context& context)
{
    auto document = read_config_files(context);
    if (!document)
        co_return report_error(document.error());
    if (!print_findings(context, *document))
        co_return exit_failed;
    const auto head = co_await read_head(context);
    if (!head)
        co_return report_error(head.error());
    const auto expected = to_integer(context.settings.argument("--from"));
    const config_document empty_document;
    const bool was_changed_since = expected && *expected != head->document.version;
    if (was_changed_since)
        co_return report_conflict(empty_document, head->document);
    document->version = head->document.version + 1;
    document->author = context.settings.argument("--author");
    document->note = context.settings.argument("--note");
    document->accepted_ms = wall_clock_ms();
    print_difference(head->document, *document);
    for (int attempt = 0; attempt < max_apply_attempts; ++attempt) {
        if (attempt > 0)
            co_await pause_for(apply_retry_interval);
        const auto saved = co_await save_to_history(context, head->document);
        if (!saved)
            continue;
        const auto written =
            co_await context.key_value_client.compare_and_swap(config_head_key, to_json(*document), head->modify_index);
        // The response to the write may have been lost: when the write is not confirmed, the head is read again
        // to find out whether it took effect.
        const bool is_accepted = written && *written;
        if (is_accepted)
            co_return co_await report_accepted_and_wait(context, document->version);
        const auto current = co_await read_head(context);
        if (current && current->document == *document)
            co_return co_await report_accepted_and_wait(context, document->version);
        if (current && current->modify_index != head->modify_index)
            co_return report_conflict(head->document, current->document);
    }
    co_return report_unknown_outcome();
}

asio::awaitable<int> config_history(command_context& context)
{
    const auto head = co_await read_head(context);
    if (!head)
        co_return report_error(head.error());
    for (std::int64_t version = 1; version <= head->document.version; ++version) {
        config_document document = head->document;
        if (version < head->document.version) {
            const auto saved = co_await context.key_value_client.get(config_history_prefix + std::to_string(version));
            const auto parsed = saved && saved->has_value() ? parse_config_document((*saved)->value)
                                                            : result<config_document>{config_document{}};
            document = parsed.value_or(config_document{});
        }
        std::cout << version << "\t" << document.accepted_ms << "\t" << document.author << "\t" << document.note
                  << "\n";
    }
    co_return exit_done;
}

asio::awaitable<int> config_show(command_context& context)
{
    const auto head = co_await read_head(context);
    if (!head)
        co_return report_error(head.error());
    std::cout << "version " << head->document.version << "\n" << head->document.base;
    for (const auto& [site, overlay] : head->document.overlays)
        std::cout << "# overlay " << site << "\n" << overlay;
    co_return exit_done;
}

} // namespace radishstep
