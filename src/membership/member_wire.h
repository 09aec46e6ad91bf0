#pragma once

#include <vector>

#include "membership/member.h"
#include "membership/member_table.h"

namespace radishstep::wire {

class Gossip;
class View;

/// Returns the wire form of a gossip datagram, stamped by this process' clock.
Gossip to_wire(const gossip_message& message);

/// Returns the gossip in a datagram and takes note of its stamp.
gossip_message from_wire(const Gossip& message);

/// Returns the wire form of a view, and back.
View to_wire(const membership_view& view);
membership_view from_wire(const View& message);

} // namespace radishstep::wire
