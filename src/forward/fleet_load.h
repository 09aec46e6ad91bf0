#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/runtime_clock.h"
#include "forward/lateness.h"

namespace radishstep::forward {

/// What runs at one endpoint.
struct endpoint_load
{
    int calls = 0;
    /// Tokens of engine memory that the calls take or will take.
    std::int64_t tokens = 0;
    /// Prompt tokens that wait to be read or are being read.
    std::int64_t pending_prefill_tokens = 0;

    bool operator==(const endpoint_load&) const = default;

    endpoint_load& operator+=(const endpoint_load& other);
    endpoint_load& operator-=(const endpoint_load& other);
};

/// What runs at each endpoint, by endpoint incarnation.
using load_table = std::map<std::string, endpoint_load>;

/// The first request in a host's line for a service.
struct queue_head
{
    std::string service;
    lateness late = lateness::on_time;
    time_point since;

    bool operator==(const queue_head&) const = default;
};

/// Returns the rows of `now` that differ from those in `told` by enough to tell, and a row of zeros for each
/// that is gone. Memory that only grew is told from `told_growth` tokens on.
load_table changed_loads(const load_table& told, const load_table& now);
/// A stream grows by so much in a second or two, and an engine's room is counted with more to spare.
constexpr std::int64_t told_growth = 400;

/// The work of all hosts at the endpoints: this host's exactly, the others' as they last told.
class fleet_load
{
public:
    /// How long another host's word counts when no newer one comes.
    static constexpr milliseconds peer_report_lifetime{1'500};

    /// Counts work that begins at an endpoint.
    void begin(const std::string& incarnation, endpoint_load work);

    /// Counts work that ends at an endpoint; `work` is what begin() was told.
    void end(const std::string& incarnation, endpoint_load work);

    /// Counts that work in progress takes more memory now.
    void add_tokens(const std::string& incarnation, std::int64_t tokens);

    /// Takes another host's table and the first request of each of its lines; older words of the same
    /// host are replaced.
    void apply_peer_loads(const std::string& host, load_table loads, std::vector<queue_head> heads, time_point now);

    /// Takes the rows of another host's table that have changed, and the first request of each of its lines.
    void apply_peer_load_changes(const std::string& host, const load_table& changed, std::vector<queue_head> heads,
                           time_point now);

    /// Returns how many hosts have a request in line for the same service that goes before `own`. Hosts
    /// leave as many places to them, so that no two take the same one.
    std::size_t count_peer_heads_ahead(const queue_head& own, time_point now) const;

    /// Returns whether a request for the service waits at another host that can still meet its objective.
    bool has_peer_head_on_time(const std::string& service, time_point now) const;

    /// Returns the work of all hosts at an endpoint.
    endpoint_load at(const std::string& incarnation, time_point now) const;

    /// Returns this host's own work.
    const load_table& own() const { return this->own_loads; }

private:
    struct peer_word
    {
        load_table loads;
        std::vector<queue_head> heads;
        time_point heard;
    };

    void add(const std::string& incarnation, const endpoint_load& change) const;
    void drop_silent_peers(time_point now) const;

    load_table own_loads;
    mutable std::map<std::string, peer_word> peers;
    /// The sums over this host and its peers: a search asks for many endpoints and each of many peers.
    mutable std::unordered_map<std::string, endpoint_load> sums;
    /// No peer falls silent before this time.
    mutable time_point next_silence;
};

} // namespace radishstep::forward
