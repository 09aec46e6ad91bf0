#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include "accounts/account_ledger.h"
#include "base/error.h"
#include "base/runtime_clock.h"
#include "forward/endpoints/endpoint_health.h"
#include "forward/endpoints/engine_model.h"
#include "forward/fleet/fleet_load.h"
#include "forward/fleet/full_report_rotation.h"
#include "forward/suspects/crash_suspects.h"

namespace radishstep::wire {
class LoadReport;
}

namespace radishstep::forward {

/// Revision of the newest change that a host has seen, by watched prefix of the key-value store.
using revisions_by_prefix = std::map<std::string, std::int64_t>;

/// Supplies and consumes the parts of load reports that are neither loads nor health.
struct load_report_hooks
{
    /// Returns the first request of each request queue of this host.
    std::function<std::vector<queue_head>()> list_queue_heads;
    /// Returns the newest revisions that this host has seen.
    std::function<revisions_by_prefix()> latest_revisions;
    /// Called with the newest revisions that another host has seen.
    std::function<void(const revisions_by_prefix&)> on_peer_revisions;
    /// Called when another host has seen an endpoint down. May be empty, as may the next eleven.
    std::function<void(const down_endpoint&)> on_peer_endpoint_down;
    /// Return this host's crash records and started parts that are of interest since a time.
    std::function<std::vector<crash_record>(time_point since)> list_crash_records;
    std::function<std::vector<part_start>(time_point since)> list_part_starts;
    /// Returns the crash records that a complete report passes on, besides the host's own ones.
    std::function<std::vector<crash_record>()> take_records_to_relay;
    /// Returns the crash records that a host which has just started needs first.
    std::function<std::vector<crash_record>()> list_records_for_newcomer;
    /// Returns the parts of suspected requests that this host has claimed since a time.
    std::function<std::vector<std::string>(time_point since)> list_trials;
    /// Called with the parts that another host has claimed.
    std::function<void(const std::string& host, const std::vector<std::string>& parts)> on_peer_trials;
    /// Returns what this host has spent of the client accounts' quotas since a time.
    std::function<std::vector<accounts::account_spending>(time_point since)> list_account_spending;
    /// Called with what another host has reported of them, also if that is nothing new.
    std::function<void(const std::string& host, const std::vector<accounts::account_spending>& rows)>
        on_peer_account_spending;
    /// Returns the paces of endpoints that this host has observed since the last report.
    std::function<std::vector<pace_sample>()> take_pace_samples;
    /// Called with each pace that another host has observed.
    std::function<void(const pace_sample&)> on_peer_pace_sample;
    /// Called with the crash records and started parts that another host has reported.
    std::function<void(const std::vector<crash_record>&, const std::vector<part_start>&)> on_peer_crash_records;
};

/// Sends this host's load at each endpoint to all other hosts over UDP and receives theirs. Most reports are
/// partial and contain only changes, since full reports to a large fleet would saturate a small host's link; the
/// next full report repairs what a lost datagram left out.
class load_report_exchange
{
public:
    /// The report interval grows by this much per receiving host, so that the datagrams that a host sends per second
    /// don't grow with the fleet.
    static constexpr milliseconds report_interval_per_peer{2};
    /// Shortest report interval; the changes of several requests share a datagram.
    static constexpr milliseconds min_report_interval{8};
    /// Growth per receiving host of the report interval for urgent changes: 24 ms in a fleet of 60, which keeps the
    /// traffic low enough for small links.
    static constexpr std::chrono::microseconds urgent_interval_per_peer{400};
    /// How long a report may take to another host of the region and until it is read there.
    static constexpr milliseconds max_transfer_time{30};
    /// Longest interval without a report when no work starts or ends, since the KV cache of running streams still
    /// grows.
    static constexpr milliseconds idle_report_interval{150};
    /// The idle interval is at least this many report intervals, which are longer in large fleets.
    static constexpr int report_intervals_per_idle_report = 3;

    /// How long a host stays a peer after its last report while it is not registered: a new host reports before the
    /// others see its registration, and all registrations vanish when leases expire during an outage.
    static constexpr milliseconds unregistered_peer_lifetime{10'000};

    /// About so many hosts, in a larger fleet, answer the first report of a host that has started with the crash
    /// records that they know.
    static constexpr std::size_t hosts_per_newcomer = 16;

    /// Hosts that have reported within this time count as heard: longer than the interval of an idle host's reports in
    /// a fleet of 100, and short, since a part of a fleet that lost the rest goes on as if it heard it for so long.
    static constexpr milliseconds recent_report_time{700};

    /// Interval between full reports; a long one reaches each host less often (full_report_rotation).
    static constexpr milliseconds full_report_interval{1'000};

    load_report_exchange(const boost::asio::any_io_executor& executor, std::string host, fleet_load& load,
                         endpoint_health& health, load_report_hooks hooks);

    /// Binds the socket, or returns what is wrong with the address.
    result<void> open(const std::string& address);

    /// Sets the registered hosts, as "IP:port" by host name; this host is left out. Hosts that have reported lately
    /// stay peers.
    void set_peers(const std::map<std::string, std::string>& addresses);

    /// Returns the number of registered or reporting hosts, including this one.
    std::size_t host_count() const { return this->peers.size() + 1; }

    /// Returns the number of hosts that have reported within recent_report_time, including this one.
    std::size_t heard_host_count(time_point now) const;

    /// Returns the interval between reports of changes.
    milliseconds report_interval() const;

    /// Returns the interval between reports of urgent changes.
    std::chrono::microseconds urgent_report_interval() const;

    /// Returns within what time urgent changes of two hosts reach each other unless a datagram is lost.
    milliseconds exchange_time() const;

    /// Schedules a report of changed loads, after the urgent interval if the change is urgent.
    void mark_changed(bool is_urgent);

    /// Sends reports until the process ends.
    boost::asio::awaitable<void> send_reports();

    /// Receives reports until the process ends.
    boost::asio::awaitable<void> receive_reports();

private:
    /// Sends each peer the changes, or a full report if one is due and its turn has come.
    void send_report_round(time_point now);
    void send_datagram(const std::string& bytes, const boost::asio::ip::udp::endpoint& address);
    std::string encode_report(time_point now, bool is_partial);
    void add_loads(wire::LoadReport& report);
    void add_revisions(wire::LoadReport& report);
    void add_crash_records(wire::LoadReport& report, time_point now);
    std::vector<crash_record> choose_repeated(std::vector<crash_record> records);
    void add_trials(wire::LoadReport& report) const;
    void add_account_spending(wire::LoadReport& report, time_point now) const;
    void apply_account_spending(const wire::LoadReport& report, time_point now);
    void add_pace_samples(wire::LoadReport& report) const;
    void apply_pace_samples(const wire::LoadReport& report) const;
    void apply_crash_records(const wire::LoadReport& report, time_point now);
    void answer_newcomer(const std::string& name, const boost::asio::ip::udp::endpoint& address);
    void apply_report(std::string_view bytes, const boost::asio::ip::udp::endpoint& sender);
    void record_peer(const std::string& name, const boost::asio::ip::udp::endpoint& sender);

    boost::asio::ip::udp::socket socket;
    std::string host;
    fleet_load& load;
    endpoint_health& health;
    load_report_hooks hooks;
    std::map<std::string, boost::asio::ip::udp::endpoint> peers;
    /// Registered hosts whose address is unusable; each is logged once.
    std::set<std::string> unusable_hosts;
    /// Time of the last report of each host, by host name.
    std::map<std::string, time_point> last_report_at;
    /// Newest sequence number of each host, by host name.
    std::map<std::string, std::int64_t> newest_sequences;
    /// Starts at the wall-clock time in ms, so that sequence numbers keep growing over restarts.
    std::int64_t last_sequence;
    /// Counts complete reports in which not all crash records fit.
    std::size_t repeat_turn = 0;
    /// Loads and revisions as they were last reported to the other hosts.
    load_table reported_loads;
    revisions_by_prefix reported_revisions;
    full_report_rotation full_rotation;
    /// Observed paces that the reports of this round carry.
    std::vector<pace_sample> reported_paces;
    time_point last_sent_at;
    time_point last_full_sent_at;
    bool has_changes = false;
    bool has_urgent_changes = false;
};

} // namespace radishstep::forward
