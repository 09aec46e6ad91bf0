#include "membership/member_table.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace radishstep {

namespace {

/// An update is sent in transmissions_per_log2_members * log2(member count) messages (SWIM's retransmission limit).
constexpr int transmissions_per_log2_members = 3;

/// Random member records that fill up a message, so that a host that missed an update gets it later.
constexpr std::size_t random_records_per_message = 2;

/// Bounds the memory: an entry whose ack never arrives is not removed.
constexpr std::size_t max_relayed_probes = 256;

} // namespace

member_table::member_table(member self, gossip_options options, std::uint64_t random_seed)
    : self_record(std::move(self)), options(options), random(random_seed)
{
}

void member_table::add_seed(const std::string& address, int port)
{
    const bool is_own_address = address == this->self_record.address && port == this->self_record.gossip_port;
    if (is_own_address || !this->seeds.emplace(address, port).second)
        return;
    this->next_probe_at = {};
}

outgoing_messages member_table::tick(time_point now)
{
    outgoing_messages out;
    const bool was_paused =
        this->last_tick_at != time_point{} && now - this->last_tick_at > this->options.pause_threshold;
    this->last_tick_at = now;
    if (was_paused) {
        // Acks that are missing after a pause of this process say nothing about the peers: restart the timers.
        for (auto& [host, known] : this->peers)
            known.state_since = now;
        this->is_probe_finished = true;
        this->next_probe_at = now;
    }
    this->check_probe(now, out);
    this->check_suspects(now, out);
    if (now >= this->next_probe_at) {
        this->next_probe_at = now + this->options.probe_period;
        this->ping_unknown_seeds(out);
        this->start_next_probe(now, out);
    }
    return out;
}

outgoing_messages member_table::receive(const gossip_message& message, time_point now)
{
    outgoing_messages out;
    this->merge(message.sender, now);
    for (const member& record : message.updates)
        this->merge(record, now);
    if (message.config_version > this->config_version && this->newer_config_hook)
        this->newer_config_hook(message.sender, message.config_version);
    switch (message.kind) {
    case gossip_kind::ping:
        out.push_back(this->make_outgoing(message.sender, this->make_message(gossip_kind::ack, message.sequence)));
        break;
    case gossip_kind::ack: {
        if (message.sequence == this->probe_sequence)
            this->is_probe_finished = true;
        const auto relayed = this->relayed_probes.find(message.sequence);
        if (relayed != this->relayed_probes.end()) {
            const auto [requester, sequence] = relayed->second;
            this->relayed_probes.erase(relayed);
            if (const auto known = this->peers.find(requester); known != this->peers.end())
                out.push_back(
                    this->make_outgoing(known->second.record, this->make_message(gossip_kind::ack, sequence)));
        }
        break;
    }
    case gossip_kind::probe_request: {
        const auto target = this->peers.find(message.target);
        if (target == this->peers.end() || this->relayed_probes.size() >= max_relayed_probes)
            break;
        const std::int64_t sequence = this->next_sequence++;
        this->relayed_probes[sequence] = {message.sender.host, message.sequence};
        out.push_back(this->make_outgoing(target->second.record, this->make_message(gossip_kind::ping, sequence)));
        break;
    }
    case gossip_kind::announce:
        break;
    }
    return out;
}

outgoing_messages member_table::finish_joining()
{
    if (this->self_record.state != member_state::joining)
        return {};
    this->self_record.state = member_state::alive;
    ++this->member_revision;
    return this->announce();
}

outgoing_messages member_table::leave()
{
    if (this->self_record.state == member_state::leaving)
        return {};
    this->self_record.state = member_state::leaving;
    ++this->member_revision;
    return this->announce();
}

outgoing_messages member_table::declare_dead(const std::string& host, std::int64_t incarnation, time_point now)
{
    const auto known = this->peers.find(host);
    if (known == this->peers.end() || known->second.record.incarnation > incarnation)
        return {};
    member record = known->second.record;
    record.state = member_state::dead;
    if (!this->merge(record, now))
        return {};
    return this->announce();
}

outgoing_messages member_table::set_config_version(std::int64_t version)
{
    if (version <= this->config_version)
        return {};
    this->config_version = version;
    return this->announce();
}

void member_table::set_newer_config_hook(std::function<void(const member&, std::int64_t)> hook)
{
    this->newer_config_hook = std::move(hook);
}

std::vector<member> member_table::members() const
{
    std::vector<member> all{this->self_record};
    for (const auto& [host, known] : this->peers) {
        if (known.record.state != member_state::dead)
            all.push_back(known.record);
    }
    std::sort(all.begin(), all.end(), [](const member& left, const member& right) { return left.host < right.host; });
    return all;
}

bool member_table::merge(const member& record, time_point now)
{
    if (record.host == this->self_record.host) {
        this->refute_if_wrong(record);
        return false;
    }
    const auto found = this->peers.find(record.host);
    if (found == this->peers.end()) {
        if (record.state == member_state::dead)
            return false;
        peer& added = this->peers[record.host];
        added.record = record;
        added.state_since = now;
        this->queue_update(added);
        return true;
    }
    if (!found->second.record.is_superseded_by(record))
        return false;
    found->second.record = record;
    found->second.state_since = now;
    this->queue_update(found->second);
    return true;
}

void member_table::refute_if_wrong(const member& record)
{
    const bool is_wrong = record.incarnation >= this->self_record.incarnation && record.state > this->self_record.state;
    if (is_wrong)
        this->self_record.incarnation = record.incarnation + 1;
}

void member_table::queue_update(peer& changed)
{
    changed.transmissions_left = this->transmission_limit();
    ++this->member_revision;
}

gossip_message member_table::make_message(gossip_kind kind, std::int64_t sequence, std::string target)
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = this->self_record;
    message.target = std::move(target);
    message.updates = this->pick_updates();
    message.config_version = this->config_version;
    return message;
}

std::vector<member> member_table::pick_updates()
{
    std::vector<peer*> queued_peers;
    for (auto& [host, known] : this->peers) {
        if (known.transmissions_left > 0)
            queued_peers.push_back(&known);
    }
    std::sort(queued_peers.begin(), queued_peers.end(),
              [](const peer* left, const peer* right) { return left->transmissions_left > right->transmissions_left; });
    if (queued_peers.size() > this->options.max_updates_per_message)
        queued_peers.resize(this->options.max_updates_per_message);
    std::vector<member> updates;
    for (peer* queued : queued_peers) {
        --queued->transmissions_left;
        updates.push_back(queued->record);
    }
    for (const member& other : this->pick_random_peers(random_records_per_message, "")) {
        const bool is_listed = std::any_of(updates.begin(), updates.end(),
                                           [&](const member& record) { return record.host == other.host; });
        if (!is_listed && updates.size() < this->options.max_updates_per_message)
            updates.push_back(other);
    }
    return updates;
}

outgoing_message member_table::make_outgoing(const member& record, gossip_message message) const
{
    // A message to a suspect, leaving or dead host includes its own record, so that it can refute a wrong state.
    const auto known = this->peers.find(record.host);
    const bool is_not_alive = known != this->peers.end() && known->second.record.state > member_state::alive;
    if (is_not_alive)
        message.updates.push_back(known->second.record);
    return {record.address, record.gossip_port, std::move(message)};
}

outgoing_messages member_table::announce()
{
    outgoing_messages out;
    for (const member& other : this->pick_random_peers(static_cast<std::size_t>(this->options.announce_fan_out), ""))
        out.push_back(this->make_outgoing(other, this->make_message(gossip_kind::announce, 0)));
    return out;
}

std::vector<member> member_table::pick_random_peers(std::size_t count, const std::string& except)
{
    std::vector<member> chosen;
    for (const auto& [host, known] : this->peers) {
        if (known.record.state != member_state::dead && host != except)
            chosen.push_back(known.record);
    }
    std::shuffle(chosen.begin(), chosen.end(), this->random);
    if (chosen.size() > count)
        chosen.resize(count);
    return chosen;
}

void member_table::start_next_probe(time_point now, outgoing_messages& out)
{
    if (this->probe_order.empty()) {
        for (const auto& [host, known] : this->peers) {
            if (known.record.state != member_state::dead)
                this->probe_order.push_back(host);
        }
        std::shuffle(this->probe_order.begin(), this->probe_order.end(), this->random);
    }
    if (this->probe_order.empty())
        return;
    this->probed_host = this->probe_order.back();
    this->probe_order.pop_back();
    const auto target = this->peers.find(this->probed_host);
    if (target == this->peers.end())
        return;
    this->probe_sequence = this->next_sequence++;
    this->probe_started_at = now;
    this->is_probe_finished = false;
    this->has_requested_indirect_probes = false;
    out.push_back(
        this->make_outgoing(target->second.record, this->make_message(gossip_kind::ping, this->probe_sequence)));
}

void member_table::check_probe(time_point now, outgoing_messages& out)
{
    if (this->is_probe_finished)
        return;
    const auto target = this->peers.find(this->probed_host);
    if (target == this->peers.end()) {
        this->is_probe_finished = true;
        return;
    }
    if (!this->has_requested_indirect_probes && now >= this->probe_started_at + this->options.ack_timeout) {
        this->has_requested_indirect_probes = true;
        for (const member& helper :
             this->pick_random_peers(static_cast<std::size_t>(this->options.indirect_probe_count), this->probed_host)) {
            out.push_back(this->make_outgoing(
                helper, this->make_message(gossip_kind::probe_request, this->probe_sequence, this->probed_host)));
        }
    }
    const bool is_period_over = now >= this->probe_started_at + this->options.probe_period;
    if (!is_period_over)
        return;
    this->is_probe_finished = true;
    member record = target->second.record;
    if (record.state == member_state::alive || record.state == member_state::joining) {
        record.state = member_state::suspect;
        this->merge(record, now);
    } else if (record.state == member_state::leaving) {
        record.state = member_state::dead;
        this->merge(record, now);
    }
}

void member_table::check_suspects(time_point now, outgoing_messages& out)
{
    bool has_new_dead = false;
    for (auto& [host, known] : this->peers) {
        const bool is_overdue = known.state_since + this->options.suspicion_timeout <= now;
        if (known.record.state != member_state::suspect || !is_overdue)
            continue;
        known.record.state = member_state::dead;
        known.state_since = now;
        this->queue_update(known);
        has_new_dead = true;
    }
    std::erase_if(this->peers, [&](const auto& item) {
        const bool is_expired = item.second.state_since + this->options.dead_retention <= now;
        return item.second.record.state == member_state::dead && is_expired;
    });
    if (!has_new_dead)
        return;
    for (outgoing_message& announcement : this->announce())
        out.push_back(std::move(announcement));
}

void member_table::ping_unknown_seeds(outgoing_messages& out)
{
    for (const auto& [address, port] : this->seeds) {
        const bool is_known = std::any_of(this->peers.begin(), this->peers.end(), [&](const auto& item) {
            const member& record = item.second.record;
            return record.address == address && record.gossip_port == port && record.state != member_state::dead;
        });
        if (!is_known)
            out.push_back({address, port, this->make_message(gossip_kind::ping, this->next_sequence++)});
    }
}

int member_table::transmission_limit() const
{
    return transmissions_per_log2_members * static_cast<int>(std::bit_width(this->peers.size() + 1));
}

} // namespace radishstep
