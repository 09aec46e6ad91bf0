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

/// What a gossip datagram is for.
enum class gossip_kind { ping = 0, ack = 1, probe_request = 2, announce = 3 };

/// One gossip datagram, before it is encoded.
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

/// A datagram and where it goes.
struct outgoing_message
{
    std::string address;
    int port = 0;
    gossip_message message;

    bool operator==(const outgoing_message&) const = default;
};

using outgoing_messages = std::vector<outgoing_message>;

/// The times and counts of failure detection.
struct gossip_options
{
    runtime_clock::duration probe_period = std::chrono::milliseconds{500};
    runtime_clock::duration ack_time = std::chrono::milliseconds{200};
    runtime_clock::duration suspect_time = std::chrono::milliseconds{1'500};
    runtime_clock::duration forget_time = std::chrono::seconds{60};
    /// A gap between two ticks longer than this means that this process was stopped meanwhile.
    runtime_clock::duration frozen_time = std::chrono::milliseconds{1'000};
    int helpers = 2;
    int fan_out = 4;
    std::size_t news_per_message = 6;

    bool operator==(const gossip_options&) const = default;
};

/// Knows the router hosts by gossip in the manner of SWIM: each period it probes one host, asks
/// helpers when there is no answer, suspects, and at last declares the host dead. It holds no socket
/// and no clock. Messages carry the sender's configuration version too.
class member_table
{
public:
    member_table(member self, gossip_options options, std::uint64_t seed);

    /// Adds an address to greet while it is not known as a member.
    void add_seed(const std::string& address, int port);

    /// Does what is due by `now`.
    outgoing_messages tick(time_point now);

    /// Takes a datagram; returns the answers.
    outgoing_messages receive(const gossip_message& message, time_point now);

    /// Tells the others that this host knows them now and takes work.
    outgoing_messages finish_joining();

    /// Tells the others that this host is leaving.
    outgoing_messages leave();

    /// Declares a host dead whose address refuses connections, unless it is known by a newer incarnation.
    outgoing_messages declare_dead(const std::string& host, std::int64_t incarnation, time_point now);

    /// Sets the version of the configuration in force here; a higher one is announced at once.
    outgoing_messages set_config_version(std::int64_t version);

    /// Sets the hook that runs when a peer has a higher configuration version.
    void on_newer_config(std::function<void(const member& peer, std::int64_t version)> hook);

    /// Returns all members that are not dead, this host among them, ordered by name.
    std::vector<member> members() const;

    /// Returns a number that grows with each change of members().
    std::uint64_t changes() const { return this->change_count; }

    const member& self() const { return this->me; }

private:
    struct peer
    {
        member record;
        int transmissions_left = 0;
        time_point state_since;
    };

    bool learn(const member& record, time_point now);
    void refute(const member& record);
    void note_change(peer& changed);
    gossip_message make(gossip_kind kind, std::int64_t sequence, std::string target = {});
    std::vector<member> pick_news();
    outgoing_message to_peer(const member& record, gossip_message message) const;
    outgoing_messages announce();
    std::vector<member> random_peers(std::size_t count, const std::string& except);
    void probe_next(time_point now, outgoing_messages& out);
    void check_probe(time_point now, outgoing_messages& out);
    void check_suspects(time_point now, outgoing_messages& out);
    void greet_seeds(outgoing_messages& out);
    int transmission_limit() const;

    member me;
    gossip_options options;
    std::mt19937_64 random;
    std::map<std::string, peer> peers;
    std::set<std::pair<std::string, int>> seeds;
    std::vector<std::string> probe_order;
    std::function<void(const member&, std::int64_t)> newer_config;
    std::map<std::int64_t, std::pair<std::string, std::int64_t>> relayed;
    std::string probed;
    std::int64_t probe_sequence = 0;
    std::int64_t next_sequence = 1;
    std::int64_t config_version = 0;
    std::uint64_t change_count = 0;
    time_point probe_started;
    time_point next_probe;
    time_point last_tick;
    bool probe_answered = true;
    bool helpers_asked = false;
};

} // namespace radishstep
