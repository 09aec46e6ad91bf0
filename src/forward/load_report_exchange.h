#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include "base/error.h"
#include "base/runtime_clock.h"
#include "forward/endpoint_health.h"
#include "forward/fleet_load.h"

namespace radishstep::wire {
class LoadReport;
}

namespace radishstep::forward {

/// By prefix of the key-value service, the revision of the newest change that a host has seen.
using revisions_by_prefix = std::map<std::string, std::int64_t>;

/// What the reports tell of beside loads and health, and who hears of it.
struct load_report_hooks
{
    /// Returns the first request of each line of this host.
    std::function<std::vector<queue_head>()> heads;
    /// Returns what this host has seen.
    std::function<revisions_by_prefix()> changes;
    /// Takes what another host has seen.
    std::function<void(const revisions_by_prefix&)> on_peer_revisions;
};

/// Tells the other hosts what this host's requests do at the endpoints, and hears theirs. Most reports have
/// only what changed, since those to a whole fleet would fill a small host's link; a lost one is made good
/// by the next whole report.
class load_report_exchange
{
public:
    /// Pause between reports for each host that hears them, so that the cost of a host's reports does
    /// not grow with the square of the fleet.
    static constexpr milliseconds pause_per_peer{2};
    /// Shortest pause between reports: some requests' worth of changes go into one datagram.
    static constexpr milliseconds shortest_pause{8};
    /// The same for urgent changes, which go out at most every 24 ms in a fleet of 60, to spare small links.
    static constexpr std::chrono::microseconds urgent_pause_per_peer{400};
    /// How often a host reports when no work began or ended: what streams hold grows meanwhile. In fleets
    /// whose usual pause is longer, three of those.
    static constexpr milliseconds heartbeat{150};
    static constexpr int heartbeat_pauses = 3;

    /// How long a host that reported counts without standing on the list of hosts, which knows new hosts later and
    /// forgets all of them when leases lapse in an outage.
    static constexpr milliseconds heard_time{10'000};

    /// How often a host sends its whole table.
    static constexpr milliseconds whole_pause{1'000};

    load_report_exchange(const boost::asio::any_io_executor& executor, std::string host, fleet_load& load,
                  endpoint_health& health, load_report_hooks hooks);

    /// Binds the socket, or returns what is wrong with the address.
    result<void> open(const std::string& address);

    /// Takes the list of hosts to tell, as "IP:port" by their names; this host itself is left out.
    void set_peers(const std::map<std::string, std::string>& addresses);

    /// Returns how many hosts there are with this one, by the list and by their reports.
    std::size_t host_count() const { return this->peers.size() + 1; }

    /// Returns the pause between reports.
    milliseconds report_pause() const;

    /// Returns the pause between reports while changes are urgent.
    std::chrono::microseconds urgent_pause() const;

    /// Notes that the loads have changed; an urgent change is reported after the urgent pause.
    void note_change(bool is_urgent);

    /// Sends reports until the process ends.
    boost::asio::awaitable<void> send_reports();

    /// Takes reports until the process ends.
    boost::asio::awaitable<void> receive_reports();

private:
    std::string encode_report(time_point now);
    void add_loads(wire::LoadReport& report);
    void add_seen_changes(wire::LoadReport& report);
    void take_report(std::string_view bytes, const boost::asio::ip::udp::endpoint& sender);
    void learn_peer(const std::string& name, const boost::asio::ip::udp::endpoint& sender);

    boost::asio::ip::udp::socket socket;
    std::string host;
    fleet_load& load;
    endpoint_health& health;
    load_report_hooks hooks;
    std::map<std::string, boost::asio::ip::udp::endpoint> peers;
    /// When each host reported last.
    std::map<std::string, time_point> heard;
    std::map<std::string, std::int64_t> newest;
    std::int64_t sequence;
    /// What the other hosts were told last.
    load_table told_loads;
    revisions_by_prefix told_changes;
    time_point last_sent;
    time_point last_whole;
    bool is_changed = false;
    bool is_urgent = false;
};

} // namespace radishstep::forward
