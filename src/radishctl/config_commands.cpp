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

constexpr int apply_tries = 10;
constexpr milliseconds retry_pause{300};
constexpr milliseconds wait_pause{100};
constexpr std::int64_t usual_wait_ms = 6'000;

/// The document in force and the version that a compare-and-swap names.
struct stored_document
{
    config_document document;
    std::int64_t index = 0;
};

result<std::string> read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    if (!file)
        return fail(error_kind::bad_config, "cannot read " + path, "check the path");
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

/// Returns the base file and the overlays "SITE.toml" of the folder given on the command line.
result<config_document> read_files(const command_context& context)
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

/// Prints all findings; returns true when every site's configuration may be used.
bool print_findings(const command_context& context, const config_document& document)
{
    bool usable = true;
    const std::string base_path = context.settings.argument("--base");
    const std::filesystem::path folder{context.settings.argument("--overlays")};
    for (const auto& [site, overlay] : document.overlays) {
        const std::string overlay_path = (folder / (site + ".toml")).string();
        const config_read_result reading = read_config(site, {base_path, document.base}, {overlay_path, overlay});
        for (const config_finding& finding : reading.findings)
            std::cout << describe(finding) << "\n";
        std::cout << "site " << site << ": " << (reading.is_usable() ? "usable" : "NOT usable") << "\n";
        usable = usable && reading.is_usable();
    }
    return usable;
}

asio::awaitable<result<stored_document>> read_head(command_context& context)
{
    const auto found = co_await context.store.get(config_head_key);
    if (!found)
        co_return tl::unexpected{found.error()};
    stored_document stored;
    if (!found->has_value())
        co_return stored;
    const auto parsed = parse_config_document((*found)->value);
    if (!parsed)
        co_return tl::unexpected{parsed.error()};
    stored.document = *parsed;
    stored.index = (*found)->modify_index;
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

int report_unknown()
{
    return report({error_kind::unavailable, "the key-value service did not say whether the change was accepted",
                   "run radishctl config history when it is back"});
}

int report_conflict(const config_document& before, const config_document& theirs)
{
    std::cerr << "radishctl: conflict: version " << theirs.version << " by " << theirs.author << " (" << theirs.note
              << ") was accepted first (remedy: take their change into your files and apply again)\n";
    std::cout << "their change:\n";
    print_difference(before, theirs);
    return exit_conflict;
}

int report_behind(std::int64_t version, const result<std::vector<std::string>>& behind)
{
    std::cerr << "radishctl: version " << version << " is accepted but not yet in force everywhere:";
    if (!behind)
        std::cerr << " no broker answers";
    for (const std::string& host : behind.value_or(std::vector<std::string>{}))
        std::cerr << " " << host;
    std::cerr << "\n";
    return exit_failed;
}

asio::awaitable<int> wait_until_in_force(command_context& context, std::int64_t version)
{
    const std::string wait_text = context.settings.argument("--wait-ms");
    const std::int64_t wait = to_integer(wait_text).value_or(usual_wait_ms);
    const time_point give_up_at = runtime_clock::now() + milliseconds{wait};
    while (true) {
        const auto behind = co_await hosts_behind(context, version);
        if (behind && behind->empty()) {
            std::cout << "version " << version << " is in force on all hosts\n";
            co_return exit_done;
        }
        if (runtime_clock::now() >= give_up_at) {
            co_return report_behind(version, behind);
        }
        co_await pause_for(wait_pause);
    }
}

asio::awaitable<int> report_accepted(command_context& context, std::int64_t version)
{
    std::cout << "accepted as version " << version << "\n";
    const int code = co_await wait_until_in_force(context, version);
    co_return code;
}

/// Keeps the version that is about to be replaced, so that the history has no gap.
asio::awaitable<result<void>> keep_history(command_context& context, config_document document)
{
    if (document.version == 0)
        co_return result<void>{};
    const std::string key = config_history_prefix + std::to_string(document.version);
    const auto written = co_await context.store.compare_and_swap(key, to_json(document), 0);
    if (!written)
        co_return tl::unexpected{written.error()};
    co_return result<void>{};
}

} // namespace

int config_check(const command_context& context)
{
    const auto document = read_files(context);
    if (!document)
        return report(document.error());
    return print_findings(context, *document) ? exit_done : exit_failed;
}

asio::awaitable<int> config_diff(command_context& context)
{
    const auto document = read_files(context);
    if (!document)
        co_return report(document.error());
    const auto head = co_await read_head(context);
    if (!head)
        co_return report(head.error());
    std::cout << "against version " << head->document.version << ":\n";
    print_difference(head->document, *document);
    co_return exit_done;
}

asio::awaitable<int> config_apply(command_context& context)
{
    auto document = read_files(context);
    if (!document)
        co_return report(document.error());
    if (!print_findings(context, *document))
        co_return exit_failed;
    const auto head = co_await read_head(context);
    if (!head)
        co_return report(head.error());
    const auto expected = to_integer(context.settings.argument("--from"));
    const config_document nothing;
    const bool was_changed_since = expected && *expected != head->document.version;
    if (was_changed_since)
        co_return report_conflict(nothing, head->document);
    document->version = head->document.version + 1;
    document->author = context.settings.argument("--author");
    document->note = context.settings.argument("--note");
    document->accepted_ms = wall_clock_ms();
    print_difference(head->document, *document);
    for (int i = 0; i < apply_tries; ++i) {
        if (i > 0)
            co_await pause_for(retry_pause);
        const auto kept = co_await keep_history(context, head->document);
        if (!kept)
            continue;
        const auto written = co_await context.store.compare_and_swap(config_head_key, to_json(*document), head->index);
        // Without a yes, the head tells whether the write took effect: its answer may have been lost.
        const bool is_accepted = written && *written;
        if (is_accepted)
            co_return co_await report_accepted(context, document->version);
        const auto now = co_await read_head(context);
        if (now && now->document == *document)
            co_return co_await report_accepted(context, document->version);
        if (now && now->index != head->index)
            co_return report_conflict(head->document, now->document);
    }
    co_return report_unknown();
}

asio::awaitable<int> config_history(command_context& context)
{
    const auto head = co_await read_head(context);
    if (!head)
        co_return report(head.error());
    for (std::int64_t version = 1; version <= head->document.version; ++version) {
        config_document document = head->document;
        if (version < head->document.version) {
            const auto kept = co_await context.store.get(config_history_prefix + std::to_string(version));
            const auto parsed = kept && kept->has_value() ? parse_config_document((*kept)->value)
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
        co_return report(head.error());
    std::cout << "version " << head->document.version << "\n" << head->document.base;
    for (const auto& [site, overlay] : head->document.overlays)
        std::cout << "# overlay " << site << "\n" << overlay;
    co_return exit_done;
}

} // namespace radishstep
