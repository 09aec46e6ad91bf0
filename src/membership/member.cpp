#include "membership/member.h"

#include "base/hash.h"

namespace radishstep {

std::string_view to_string(member_state state)
{
    switch (state) {
    case member_state::joining:
        return "joining";
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        break;
    }
    return "dead";
}

bool member::is_superseded_by(const member& other) const
{
    if (this->incarnation != other.incarnation)
        return this->incarnation < other.incarnation;
    return this->state < other.state;
}

std::string member::link_address() const
{
    return this->address + ":" + std::to_string(this->link_port);
}

std::vector<std::string> owner_candidates(const std::vector<member>& members, std::string_view region)
{
    std::vector<std::string> hosts;
    for (const member& candidate : members) {
        const bool may_own_cells = candidate.state == member_state::alive || candidate.state == member_state::suspect;
        if (may_own_cells && candidate.region == region)
            hosts.push_back(candidate.host);
    }
    return hosts;
}

std::string find_cell_owner(std::string_view cell, const std::vector<member>& members, std::string_view region)
{
    return rendezvous_winner(cell, owner_candidates(members, region));
}

} // namespace radishstep
