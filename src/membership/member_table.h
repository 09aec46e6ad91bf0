#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "membership/member.h"

namespace radishstep {

/// The type of a gossip message.
enum class gossip_kind { ping = 0, ack = 1, probe_request = 2, announce = 3 };

/// One gossip message in decoded form. `sequence` pairs an ack with its ping.
struct gossip_message
{
    gossip_kind kind = gossip_kind::ping;
    std::int64_t sequence = 0;
    member sender;
    std::string target;
    std::vector<member> updates;
    std::int64_t config_version = 0;

    bool operator==(const gossip_message&) const = default;
};

/// A gossip message with the address and UDP port to send it to.
struct outgoing_message
{
    std::string address;
    int port = 0;
    gossip_message message;

    bool operator==(const outgoing_message&) const = default;
};

using outgoing_messages = std::vector<outgoing_message>;

/// The timeouts and limits of failure detection and dissemination.
struct gossip_options
{
    runtime_clock::duration probe_period = std::chrono::milliseconds{500};
    runtime_clock::duration ack_timeout = std::chrono::milliseconds{200};
    runtime_clock::duration suspicion_timeout = std::chrono::milliseconds{1'500};
    runtime_clock::duration dead_retention = std::chrono::seconds{60};
    /// A longer gap between two ticks means that this process was paused.
    runtime_clock::duration pause_threshold = std::chrono::milliseconds{1'000};
    /// How many other members are asked to probe a host that did not answer.
    int indirect_probe_count = 2;
    /// How many members a change is announced to at once.
    int announce_fan_out = 4;
    std::size_t max_updates_per_message = 6;

    bool operator==(const gossip_options&) const = default;
};

/// Tracks the router hosts with the SWIM protocol: in each period it pings one member; without an ack it
/// asks other members to probe that member indirectly, then suspects it, and declares it dead when the
/// suspicion is not refuted in time. A leaving member that misses a probe is declared dead without suspicion. Messages
/// also carry the sender's configuration version. The class does no I/O and reads no clock.
class member_table
{
public:
    member_table(member self, gossip_options options, std::uint64_t random_seed);

    /// Adds an address that is pinged each period until a member with this address is known.
    void add_seed(const std::string& address, int port);

    /// Runs the timers that are due at `now`; returns the messages to send.
    outgoing_messages tick(time_point now);

    /// Applies a received message; returns the replies.
    outgoing_messages receive(const gossip_message& message, time_point now);

    /// Changes this host from joining to alive; returns the announcements, or nothing when it had joined before.
    outgoing_messages finish_joining();

    /// Marks this host as leaving; returns the announcements, or nothing when it was leaving before.
    outgoing_messages leave();

    /// Declares a host dead because its address refuses connections, unless a newer incarnation of it is
    /// known; returns the announcements.
    outgoing_messages declare_dead(const std::string& host, std::int64_t incarnation, time_point now);

    /// Sets the version of the configuration in force on this host; returns the announcements of a higher one.
    outgoing_messages set_config_version(std::int64_t version);

    /// Sets the hook that runs when a message carries a higher configuration version than this host has.
    void set_newer_config_hook(std::function<void(const member& peer, std::int64_t version)> hook);

    /// Returns all members that are not dead, this host among them, ordered by name.
    std::vector<member> members() const;

    /// Returns a number that grows with each change of members().
    std::uint64_t revision() const { return this->member_revision; }

    const member& self() const { return this->self_record; }

private:
    struct peer
    {
        member record;
        int transmissions_left = 0;
        time_point state_since;
    };

    /// Stores `record` if it is newer than the known one; a record of an unknown host is stored unless its state is
    /// dead. Returns whether it was stored. A record of this host is never stored; if it is wrong, this host refutes it
    /// with a higher incarnation.
    bool merge(const member& record, time_point now);
    void refute_if_wrong(const member& record);
    void queue_update(peer& changed);
    gossip_message make_message(gossip_kind kind, std::int64_t sequence, std::string target = {});
    std::vector<member> pick_updates();
    outgoing_message make_outgoing(const member& record, gossip_message message) const;
    outgoing_messages announce();
    std::vector<member> pick_random_peers(std::size_t count, const std::string& except);
    void start_next_probe(time_point now, outgoing_messages& out);
    void check_probe(time_point now, outgoing_messages& out);
    void check_suspects(time_point now, outgoing_messages& out);
    void ping_unknown_seeds(outgoing_messages& out);
    int transmission_limit() const;

    member self_record;
    gossip_options options;
    std::mt19937_64 random;
    std::map<std::string, peer> peers;
    std::set<std::pair<std::string, int>> seeds;
    std::vector<std::string> probe_order;
    std::function<void(const member&, std::int64_t)> newer_config_hook;
    /// The indirect probes sent for other hosts: own sequence -> requesting host and its sequence.
    std::map<std::int64_t, std::pair<std::string, std::int64_t>> relayed_probes;
    std::string probed_host;
    std::int64_t probe_sequence = 0;
    std::int64_t next_sequence = 1;
    std::int64_t config_version = 0;
    std::uint64_t member_revision = 0;
    time_point probe_started_at;
    time_point next_probe_at;
    time_point last_tick_at;
    bool is_probe_finished = true;
    bool has_requested_indirect_probes = false;
};

} // namespace radishstep
