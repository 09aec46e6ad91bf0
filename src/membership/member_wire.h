#pragma once

#include <vector>

#include "membership/member.h"
#include "membership/member_table.h"

namespace radishstep::wire {

class Gossip;
class View;

/// Returns the wire form of a gossip message, stamped with this process's hybrid logical clock.
Gossip to_wire(const gossip_message& message);

/// Returns the message in a datagram and advances this process's hybrid logical clock to its stamp.
gossip_message from_wire(const Gossip& message);

/// Converts a view to and from its wire form.
View to_wire(const membership_view& view);
membership_view from_wire(const View& message);

} // namespace radishstep::wire
