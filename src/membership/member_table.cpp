#include "membership/member_table.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace radishstep {

namespace {

/// A change is passed on this many times the logarithm of the member count.
constexpr int transmissions_factor = 3;

constexpr std::size_t max_relayed_probes = 256;

} // namespace

member_table::member_table(member self, gossip_options options, std::uint64_t seed)
    : me(std::move(self)), options(options), random(seed)
{
}

void member_table::add_seed(const std::string& address, int port)
{
    const bool is_self = address == this->me.address && port == this->me.gossip_port;
    if (is_self || !this->seeds.emplace(address, port).second)
        return;
    this->next_probe = {};
}

outgoing_messages member_table::tick(time_point now)
{
    outgoing_messages out;
    const bool was_frozen = this->last_tick != time_point{} && now - this->last_tick > this->options.frozen_time;
    this->last_tick = now;
    if (was_frozen) {
        // Silence of the others means nothing after a stop of our own: start the timers again.
        for (auto& [host, known] : this->peers)
            known.state_since = now;
        this->probe_answered = true;
        this->next_probe = now;
    }
    this->check_probe(now, out);
    this->check_suspects(now, out);
    if (now >= this->next_probe) {
        this->next_probe = now + this->options.probe_period;
        this->greet_seeds(out);
        this->probe_next(now, out);
    }
    return out;
}

outgoing_messages member_table::receive(const gossip_message& message, time_point now)
{
    outgoing_messages out;
    this->learn(message.sender, now);
    for (const member& record : message.updates)
        this->learn(record, now);
    if (message.config_version > this->config_version && this->newer_config)
        this->newer_config(message.sender, message.config_version);
    switch (message.kind) {
    case gossip_kind::ping:
        out.push_back(this->to_peer(message.sender, this->make(gossip_kind::ack, message.sequence)));
        break;
    case gossip_kind::ack: {
        if (message.sequence == this->probe_sequence)
            this->probe_answered = true;
        const auto waiting = this->relayed.find(message.sequence);
        if (waiting != this->relayed.end()) {
            const auto [asker, sequence] = waiting->second;
            this->relayed.erase(waiting);
            if (const auto known = this->peers.find(asker); known != this->peers.end())
                out.push_back(this->to_peer(known->second.record, this->make(gossip_kind::ack, sequence)));
        }
        break;
    }
    case gossip_kind::probe_request: {
        const auto target = this->peers.find(message.target);
        if (target == this->peers.end() || this->relayed.size() >= max_relayed_probes)
            break;
        const std::int64_t sequence = this->next_sequence++;
        this->relayed[sequence] = {message.sender.host, message.sequence};
        out.push_back(this->to_peer(target->second.record, this->make(gossip_kind::ping, sequence)));
        break;
    }
    case gossip_kind::announce:
        break;
    }
    return out;
}

outgoing_messages member_table::finish_joining()
{
    if (this->me.state != member_state::joining)
        return {};
    this->me.state = member_state::alive;
    ++this->change_count;
    return this->announce();
}

outgoing_messages member_table::leave()
{
    if (this->me.state == member_state::leaving)
        return {};
    this->me.state = member_state::leaving;
    ++this->change_count;
    return this->announce();
}

outgoing_messages member_table::declare_dead(const std::string& host, std::int64_t incarnation, time_point now)
{
    const auto known = this->peers.find(host);
    if (known == this->peers.end() || known->second.record.incarnation > incarnation)
        return {};
    member record = known->second.record;
    record.state = member_state::dead;
    if (!this->learn(record, now))
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

void member_table::on_newer_config(std::function<void(const member&, std::int64_t)> hook)
{
    this->newer_config = std::move(hook);
}

std::vector<member> member_table::members() const
{
    std::vector<member> all{this->me};
    for (const auto& [host, known] : this->peers) {
        if (known.record.state != member_state::dead)
            all.push_back(known.record);
    }
    std::sort(all.begin(), all.end(), [](const member& left, const member& right) { return left.host < right.host; });
    return all;
}

bool member_table::learn(const member& record, time_point now)
{
    if (record.host == this->me.host) {
        this->refute(record);
        return false;
    }
    const auto found = this->peers.find(record.host);
    if (found == this->peers.end()) {
        if (record.state == member_state::dead)
            return false;
        peer& added = this->peers[record.host];
        added.record = record;
        added.state_since = now;
        this->note_change(added);
        return true;
    }
    if (!found->second.record.is_older_than(record))
        return false;
    found->second.record = record;
    found->second.state_since = now;
    this->note_change(found->second);
    return true;
}

void member_table::refute(const member& record)
{
    const bool is_wrong = record.incarnation >= this->me.incarnation && record.state > this->me.state;
    if (is_wrong)
        this->me.incarnation = record.incarnation + 1;
}

void member_table::note_change(peer& changed)
{
    changed.transmissions_left = this->transmission_limit();
    ++this->change_count;
}

gossip_message member_table::make(gossip_kind kind, std::int64_t sequence, std::string target)
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = this->me;
    message.target = std::move(target);
    message.updates = this->pick_news();
    message.config_version = this->config_version;
    return message;
}

std::vector<member> member_table::pick_news()
{
    std::vector<peer*> fresh;
    for (auto& [host, known] : this->peers) {
        if (known.transmissions_left > 0)
            fresh.push_back(&known);
    }
    std::sort(fresh.begin(), fresh.end(),
              [](const peer* left, const peer* right) { return left->transmissions_left > right->transmissions_left; });
    if (fresh.size() > this->options.news_per_message)
        fresh.resize(this->options.news_per_message);
    std::vector<member> updates;
    for (peer* told : fresh) {
        --told->transmissions_left;
        updates.push_back(told->record);
    }
    // Fill up with random members, so that a host that missed the news learns it later.
    for (const member& other : this->random_peers(2, "")) {
        const bool is_listed =
            std::any_of(updates.begin(), updates.end(), [&](const member& told) { return told.host == other.host; });
        if (!is_listed && updates.size() < this->options.news_per_message)
            updates.push_back(other);
    }
    return updates;
}

outgoing_message member_table::to_peer(const member& record, gossip_message message) const
{
    // A host that is thought to be down must hear of it, so that it can say otherwise.
    const auto known = this->peers.find(record.host);
    const bool is_doubted = known != this->peers.end() && known->second.record.state > member_state::alive;
    if (is_doubted)
        message.updates.push_back(known->second.record);
    return {record.address, record.gossip_port, std::move(message)};
}

outgoing_messages member_table::announce()
{
    outgoing_messages out;
    for (const member& other : this->random_peers(static_cast<std::size_t>(this->options.fan_out), ""))
        out.push_back(this->to_peer(other, this->make(gossip_kind::announce, 0)));
    return out;
}

std::vector<member> member_table::random_peers(std::size_t count, const std::string& except)
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

void member_table::probe_next(time_point now, outgoing_messages& out)
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
    this->probed = this->probe_order.back();
    this->probe_order.pop_back();
    const auto target = this->peers.find(this->probed);
    if (target == this->peers.end())
        return;
    this->probe_sequence = this->next_sequence++;
    this->probe_started = now;
    this->probe_answered = false;
    this->helpers_asked = false;
    out.push_back(this->to_peer(target->second.record, this->make(gossip_kind::ping, this->probe_sequence)));
}

void member_table::check_probe(time_point now, outgoing_messages& out)
{
    if (this->probe_answered)
        return;
    const auto target = this->peers.find(this->probed);
    if (target == this->peers.end()) {
        this->probe_answered = true;
        return;
    }
    if (!this->helpers_asked && now >= this->probe_started + this->options.ack_time) {
        this->helpers_asked = true;
        for (const member& helper : this->random_peers(static_cast<std::size_t>(this->options.helpers), this->probed)) {
            out.push_back(
                this->to_peer(helper, this->make(gossip_kind::probe_request, this->probe_sequence, this->probed)));
        }
    }
    const bool period_is_over = now >= this->probe_started + this->options.probe_period;
    if (!period_is_over)
        return;
    this->probe_answered = true;
    member record = target->second.record;
    if (record.state == member_state::alive || record.state == member_state::joining) {
        record.state = member_state::suspect;
        this->learn(record, now);
    } else if (record.state == member_state::leaving) {
        record.state = member_state::dead;
        this->learn(record, now);
    }
}

void member_table::check_suspects(time_point now, outgoing_messages& out)
{
    bool someone_died = false;
    for (auto& [host, known] : this->peers) {
        const bool is_overdue = known.state_since + this->options.suspect_time <= now;
        if (known.record.state != member_state::suspect || !is_overdue)
            continue;
        known.record.state = member_state::dead;
        known.state_since = now;
        this->note_change(known);
        someone_died = true;
    }
    std::erase_if(this->peers, [&](const auto& item) {
        const bool is_old = item.second.state_since + this->options.forget_time <= now;
        return item.second.record.state == member_state::dead && is_old;
    });
    if (!someone_died)
        return;
    for (outgoing_message& told : this->announce())
        out.push_back(std::move(told));
}

void member_table::greet_seeds(outgoing_messages& out)
{
    for (const auto& [address, port] : this->seeds) {
        const bool is_known = std::any_of(this->peers.begin(), this->peers.end(), [&](const auto& item) {
            const member& record = item.second.record;
            return record.address == address && record.gossip_port == port && record.state != member_state::dead;
        });
        if (!is_known)
            out.push_back({address, port, this->make(gossip_kind::ping, this->next_sequence++)});
    }
}

int member_table::transmission_limit() const
{
    return transmissions_factor * static_cast<int>(std::bit_width(this->peers.size() + 1));
}

} // namespace radishstep
