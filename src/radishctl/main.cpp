#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "base/hash.h"
#include "base/settings.h"
#include "radishctl/command_context.h"
#include "radishctl/config_commands.h"
#include "radishctl/fleet_commands.h"

namespace {

namespace asio = boost::asio;
using namespace radishstep;

constexpr const char* usage =
    R"(radishctl: lets operators check and apply the configuration and see what the fleet does.

Usage:
  radishctl config check --base FILE --overlays DIR
  radishctl config diff --base FILE --overlays DIR [options]
  radishctl config apply --base FILE --overlays DIR --author NAME --note TEXT [--from VERSION] [--wait-ms N] [options]
  radishctl config history [options]
  radishctl config show [options]
  radishctl status [options]
  radishctl timeline [--request ID] [--last-ms N] [--chrome] [options]
  radishctl drain <address>
  radishctl key hash
  radishctl --help

Options:
  --base FILE           The base document, shared by all sites.
  --overlays DIR        The folder with one SITE.toml for each site.
  --author NAME         Who makes the change.
  --note TEXT           Why.
  --from VERSION        The version that the files were made from; another one in force is a conflict.
  --wait-ms N           How long to wait until the change is in force on all hosts (6000).
  --request ID          Only the events of this request.
  --last-ms N           Only the events of the last N milliseconds.
  --chrome              Print the trace format that browsers show.
  --key-value ADDRESS   Address of the key-value service, IP:port (127.0.0.1:9200).
  --broker ADDRESS      Operators' address of any broker, IP:port (127.0.0.1:7102).

Exit codes: 0 done, 1 failed, 3 another operator's change was accepted first.)";

using command = std::function<asio::awaitable<int>(command_context&)>;

/// Prints the SHA-256 hash of the API key that is read from the standard input.
int hash_key()
{
    std::string key;
    std::getline(std::cin, key);
    std::cout << sha256_hex(key) << "\n";
    return exit_done;
}

/// Runs the command to its end and returns its exit code.
int run_command(const command& selected, command_context& context)
{
    int code = exit_failed;
    auto run_selected = [&]() -> asio::awaitable<void> { code = co_await selected(context); };
    asio::co_spawn(context.io, run_selected, asio::detached);
    context.io.run();
    return code;
}

command select_command(const settings_reader& settings)
{
    if (settings.is_given("diff"))
        return config_diff;
    if (settings.is_given("apply"))
        return config_apply;
    if (settings.is_given("history"))
        return config_history;
    if (settings.is_given("show"))
        return config_show;
    if (settings.is_given("timeline"))
        return fleet_timeline;
    if (settings.is_given("drain"))
        return drain_process;
    return fleet_status;
}

} // namespace

int main(int argc, char** argv)
{
    auto settings = settings_reader::parse(usage, argc, argv);
    if (!settings)
        return report_error(settings.error());
    if (settings->is_given("hash"))
        return hash_key();
    const std::string key_value_address = settings->address("--key-value", "127.0.0.1:9200");
    const std::string broker_address = settings->address("--broker", "127.0.0.1:7102");
    if (const auto validated = settings->validate(); !validated)
        return report_error(validated.error());
    asio::io_context io{1};
    command_context context{io, *settings, key_value_address, broker_address};
    if (settings->is_given("check"))
        return config_check(context);
    return run_command(select_command(*settings), context);
}
