#pragma once

#include "routing/permit.h"
#include "routing/poison_list.h"

namespace radishstep::wire {

class PermitRequest;
class Grant;
class Refusal;
class Release;
class OpenPermit;
class Reassert;

/// These return the wire form of a value.
PermitRequest to_wire(const permit_request& ask, const std::string& cell);
Grant to_wire(const permit_grant& grant);
Refusal to_wire(const permit_refusal& refusal);
Release to_wire(const permit_release& release, const std::string& cell);
Reassert to_wire(const std::string& cell, const std::vector<open_permit>& permits,
                 const std::vector<poison_strike>& strikes);

/// These return the value of a wire form, as sent by `holder`.
permit_request from_wire(const PermitRequest& message, const std::string& holder);
permit_grant from_wire(const Grant& message);
permit_refusal from_wire(const Refusal& message);
permit_release from_wire(const Release& message, const std::string& holder);
std::vector<open_permit> permits_from_wire(const Reassert& message, const std::string& holder);
std::vector<poison_strike> strikes_from_wire(const Reassert& message);

} // namespace radishstep::wire
