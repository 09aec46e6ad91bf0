#include "membership/member_wire.h"

#include "base/hybrid_clock.h"
#include "wire/generated/radishstep_types.h"

namespace radishstep::wire {

namespace {

MemberRecord to_record(const member& known)
{
    MemberRecord record;
    record.host = known.host;
    record.zone = known.zone;
    record.region = known.region;
    record.address = known.address;
    record.gossip_port = known.gossip_port;
    record.link_port = known.link_port;
    record.incarnation = known.incarnation;
    record.state = static_cast<std::int32_t>(known.state);
    record.admin_urls = known.admin_urls;
    return record;
}

member from_record(const MemberRecord& record)
{
    const bool is_known_state = record.state >= static_cast<std::int32_t>(member_state::joining) &&
                                record.state <= static_cast<std::int32_t>(member_state::dead);
    const member_state state = is_known_state ? static_cast<member_state>(record.state) : member_state::suspect;
    return {record.host,      record.zone,        record.region, record.address,   record.gossip_port,
            record.link_port, record.incarnation, state,         record.admin_urls};
}

gossip_kind to_gossip_kind(std::int32_t kind)
{
    const bool is_known = kind >= static_cast<std::int32_t>(gossip_kind::ping) &&
                          kind <= static_cast<std::int32_t>(gossip_kind::announce);
    return is_known ? static_cast<gossip_kind>(kind) : gossip_kind::announce;
}

} // namespace

Gossip to_wire(const gossip_message& message)
{
    Gossip datagram;
    datagram.kind = static_cast<std::int32_t>(message.kind);
    datagram.sequence = message.sequence;
    datagram.sender = to_record(message.sender);
    datagram.target = message.target;
    for (const member& known : message.updates)
        datagram.news.push_back(to_record(known));
    datagram.stamp = static_cast<std::int64_t>(process_clock().next());
    datagram.config_version = message.config_version;
    return datagram;
}

gossip_message from_wire(const Gossip& datagram)
{
    process_clock().observe(static_cast<std::uint64_t>(datagram.stamp));
    gossip_message message;
    message.kind = to_gossip_kind(datagram.kind);
    message.sequence = datagram.sequence;
    message.sender = from_record(datagram.sender);
    message.target = datagram.target;
    for (const MemberRecord& record : datagram.news)
        message.updates.push_back(from_record(record));
    message.config_version = datagram.config_version;
    return message;
}

View to_wire(const membership_view& view)
{
    View message;
    for (const member& known : view.members)
        message.members.push_back(to_record(known));
    message.leaving = view.leaving;
    return message;
}

membership_view from_wire(const View& message)
{
    membership_view view;
    for (const MemberRecord& record : message.members)
        view.members.push_back(from_record(record));
    view.leaving = message.leaving;
    return view;
}

} // namespace radishstep::wire
