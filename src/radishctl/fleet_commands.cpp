#include "radishctl/fleet_commands.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <sstream>

#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/text.h"
#include "radishctl/timeline_page.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_accepted = 202;

/// One host of the fleet and its processes' operator ports.
struct fleet_host
{
    std::string host;
    std::string state;
    std::string broker_admin;
    std::string entry_admin;
};

asio::awaitable<result<std::vector<fleet_host>>> list_hosts(command_context& context)
{
    const auto page = co_await context.get(context.broker, "/status");
    if (!page)
        co_return tl::unexpected{page.error()};
    const auto json = nlohmann::json::parse(*page, nullptr, false);
    std::vector<fleet_host> hosts;
    for (const auto& known : json.value("members", nlohmann::json::array())) {
        const std::string admin = known.value("admin", "");
        const std::size_t comma = admin.find(',');
        fleet_host host;
        host.host = known.value("host", "");
        host.state = known.value("state", "");
        host.broker_admin = admin.substr(0, comma);
        host.entry_admin = comma == std::string::npos ? "" : admin.substr(comma + 1);
        hosts.push_back(std::move(host));
    }
    co_return hosts;
}

void print_cell(const nlohmann::json& cell, const std::string& owner)
{
    std::cout << "cell " << cell.value("cell", "") << " owner=" << owner << " waiting=" << cell.value("waiting", 0)
              << " open_permits=" << cell.value("open_permits", 0) << "\n";
    for (const auto& endpoint : cell.value("endpoints", nlohmann::json::array())) {
        std::cout << "  " << endpoint.value("name", "") << " " << endpoint.value("role", "")
                  << " usable=" << (endpoint.value("usable", false) ? "yes" : "no")
                  << " used=" << endpoint.value("used", 0) << "/" << endpoint.value("slots", 0)
                  << " token_us=" << endpoint.value("token_us", 0.0) << "\n";
    }
}

asio::awaitable<void> print_host(command_context& context, fleet_host host)
{
    const auto broker_page = co_await context.get(host.broker_admin, "/status");
    const auto entry_page = co_await context.get(host.entry_admin, "/status");
    const auto broker = nlohmann::json::parse(broker_page.value_or("{}"), nullptr, false);
    const auto entry = nlohmann::json::parse(entry_page.value_or("{}"), nullptr, false);
    std::cout << "host " << host.host << " state=" << host.state << " broker=" << (broker_page ? "up" : "DOWN")
              << " entry=" << (entry_page ? "up" : "DOWN") << " config_version=" << broker.value("config_version", 0)
              << " ready=" << (entry.value("ready", false) ? "yes" : "no")
              << " in_progress=" << entry.value("in_progress", 0) << "\n";
    for (const auto& cell : broker.value("cells", nlohmann::json::array()))
        print_cell(cell, host.host);
}

asio::awaitable<std::vector<timeline_event>> collect_events(command_context& context, std::vector<fleet_host> hosts,
                                                            std::string target)
{
    std::vector<timeline_event> events;
    for (const fleet_host& host : hosts) {
        for (const std::string& address : {host.broker_admin, host.entry_admin}) {
            if (address.empty())
                continue;
            const auto page = co_await context.get(address, target);
            if (!page)
                continue;
            const auto found = from_json_lines(*page);
            events.insert(events.end(), found.begin(), found.end());
        }
    }
    std::sort(events.begin(), events.end());
    co_return events;
}

} // namespace

asio::awaitable<int> fleet_status(command_context& context)
{
    const auto hosts = co_await list_hosts(context);
    if (!hosts)
        co_return report(hosts.error());
    for (const fleet_host& host : *hosts)
        co_await print_host(context, host);
    co_return exit_done;
}

asio::awaitable<int> fleet_timeline(command_context& context)
{
    const auto hosts = co_await list_hosts(context);
    if (!hosts)
        co_return report(hosts.error());
    const std::int64_t last_ms = to_integer(context.settings.argument("--last-ms")).value_or(0);
    std::uint64_t since = 0;
    if (last_ms > 0)
        since = static_cast<std::uint64_t>(wall_clock_ms() - last_ms) << hybrid_clock::counter_bits;
    const std::string request = context.settings.argument("--request");
    const std::string target = "/timeline?since=" + std::to_string(since) + "&request=" + request;
    const auto events = co_await collect_events(context, *hosts, target);
    const bool as_trace = context.settings.is_given("--chrome");
    std::cout << (as_trace ? timeline_trace(events) : timeline_text(events));
    co_return exit_done;
}

asio::awaitable<int> drain_process(command_context& context)
{
    http::request order = http::json_request("POST", "/drain", "");
    const std::string address = context.settings.argument("<address>");
    const http::call_options options;
    const auto answer = co_await context.calls.call(address, std::move(order), options);
    if (!answer)
        co_return report(answer.error());
    const bool taken = answer->status == status_accepted;
    std::cout << (taken ? "draining\n" : "refused\n");
    co_return taken ? exit_done : exit_failed;
}

asio::awaitable<result<std::vector<std::string>>> hosts_behind(command_context& context, std::int64_t version)
{
    const auto hosts = co_await list_hosts(context);
    if (!hosts)
        co_return tl::unexpected{hosts.error()};
    std::vector<std::string> behind;
    for (const fleet_host& host : *hosts) {
        const auto page = co_await context.get(host.broker_admin, "/status");
        const auto json = nlohmann::json::parse(page.value_or("{}"), nullptr, false);
        if (json.value("config_version", std::int64_t{0}) < version)
            behind.push_back(host.host);
    }
    co_return behind;
}

} // namespace radishstep
