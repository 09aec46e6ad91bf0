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
#include "radishctl/timeline_format.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_accepted = 202;

/// A host of the fleet, its membership state and the admin addresses of its processes.
struct fleet_host
{
    std::string host;
    std::string state;
    std::string broker_admin_address;
    std::string entry_admin_address;
};

/// Returns the hosts that the broker given on the command line knows as members.
asio::awaitable<result<std::vector<fleet_host>>> list_hosts(command_context& context)
{
    const auto page = co_await context.get_page(context.broker_address, "/status");
    if (!page)
        co_return tl::unexpected{page.error()};
    const auto json = nlohmann::json::parse(*page, nullptr, false);
    std::vector<fleet_host> hosts;
    for (const auto& member : json.value("members", nlohmann::json::array())) {
        const std::string admin_addresses = member.value("admin", "");
        const std::size_t comma = admin_addresses.find(',');
        fleet_host host;
        host.host = member.value("host", "");
        host.state = member.value("state", "");
        host.broker_admin_address = admin_addresses.substr(0, comma);
        host.entry_admin_address = comma == std::string::npos ? "" : admin_addresses.substr(comma + 1);
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
    const auto broker_page = co_await context.get_page(host.broker_admin_address, "/status");
    const auto entry_page = co_await context.get_page(host.entry_admin_address, "/status");
    const auto broker = nlohmann::json::parse(broker_page.value_or("{}"), nullptr, false);
    const auto entry = nlohmann::json::parse(entry_page.value_or("{}"), nullptr, false);
    std::cout << "host " << host.host << " state=" << host.state << " broker=" << (broker_page ? "up" : "DOWN")
              << " entry=" << (entry_page ? "up" : "DOWN") << " config_version=" << broker.value("config_version", 0)
              << " ready=" << (entry.value("ready", false) ? "yes" : "no")
              << " in_progress=" << entry.value("in_progress", 0) << "\n";
    for (const auto& cell : broker.value("cells", nlohmann::json::array()))
        print_cell(cell, host.host);
}

/// Returns the events of all processes that answer, in the order of their time stamps.
asio::awaitable<std::vector<timeline_event>> collect_events(command_context& context, std::vector<fleet_host> hosts,
                                                            std::string target)
{
    std::vector<timeline_event> events;
    for (const fleet_host& host : hosts) {
        for (const std::string& address : {host.broker_admin_address, host.entry_admin_address}) {
            if (address.empty())
                continue;
            const auto page = co_await context.get_page(address, target);
            if (!page)
                continue;
            const auto page_events = from_json_lines(*page);
            events.insert(events.end(), page_events.begin(), page_events.end());
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
        co_return report_error(hosts.error());
    for (const fleet_host& host : *hosts)
        co_await print_host(context, host);
    co_return exit_done;
}

asio::awaitable<int> fleet_timeline(command_context& context)
{
    const auto hosts = co_await list_hosts(context);
    if (!hosts)
        co_return report_error(hosts.error());
    const std::int64_t last_ms = to_integer(context.settings.argument("--last-ms")).value_or(0);
    std::uint64_t since = 0;
    if (last_ms > 0)
        since = static_cast<std::uint64_t>(wall_clock_ms() - last_ms) << hybrid_clock::counter_bits;
    const std::string request = context.settings.argument("--request");
    const std::string target = "/timeline?since=" + std::to_string(since) + "&request=" + request;
    const auto events = co_await collect_events(context, *hosts, target);
    const bool as_trace = context.settings.is_given("--chrome");
    std::cout << (as_trace ? format_timeline_trace(events) : format_timeline_text(events));
    co_return exit_done;
}

asio::awaitable<int> drain_process(command_context& context)
{
    http::request request = http::json_request("POST", "/drain", "");
    const std::string address = context.settings.argument("<address>");
    const http::call_options options;
    const auto response = co_await context.http_client.call(address, std::move(request), options);
    if (!response)
        co_return report_error(response.error());
    const bool is_accepted = response->status == status_accepted;
    std::cout << (is_accepted ? "draining\n" : "refused\n");
    co_return is_accepted ? exit_done : exit_failed;
}

asio::awaitable<result<std::vector<std::string>>> find_outdated_hosts(command_context& context, std::int64_t version)
{
    const auto hosts = co_await list_hosts(context);
    if (!hosts)
        co_return tl::unexpected{hosts.error()};
    std::vector<std::string> outdated_hosts;
    for (const fleet_host& host : *hosts) {
        const auto page = co_await context.get_page(host.broker_admin_address, "/status");
        const auto json = nlohmann::json::parse(page.value_or("{}"), nullptr, false);
        if (json.value("config_version", std::int64_t{0}) < version)
            outdated_hosts.push_back(host.host);
    }
    co_return outdated_hosts;
}

} // namespace radishstep
