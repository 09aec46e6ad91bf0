#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/runtime_clock.h"
#include "forward/queue/queue_rank.h"

namespace radishstep::forward {

/// Work assigned to one endpoint.
struct endpoint_load
{
    int calls = 0;
    /// KV cache tokens that the calls occupy or will occupy.
    std::int64_t tokens = 0;
    /// Prompt tokens whose prefill is queued or running.
    std::int64_t pending_prefill_tokens = 0;

    bool operator==(const endpoint_load&) const = default;

    endpoint_load& operator+=(const endpoint_load& other);
    endpoint_load& operator-=(const endpoint_load& other);
};

/// Assigned work by endpoint incarnation.
using load_table = std::map<std::string, endpoint_load>;

/// The first request in a host's queue for a service.
struct queue_head
{
    std::string service;
    queue_rank rank;

    bool operator==(const queue_head&) const = default;
};

/// Returns the entries of `now` that differ enough from `reported` to be sent, and a zero entry for each endpoint that
/// is only in `reported`. An entry whose KV cache tokens alone changed is included if they changed by at least
/// `min_reported_kv_token_change`.
load_table changed_loads(const load_table& reported, const load_table& now);

/// Smallest change of an endpoint's KV cache tokens that is reported if nothing else changed. A stream generates this
/// many tokens in one to two seconds. What is not reported is estimated, see fleet_load::unreported_tokens_at().
constexpr std::int64_t min_reported_kv_token_change = 400;

/// The work of all hosts at the endpoints: exact for this host, as last reported for the others.
class fleet_load
{
public:
    /// How long another host's report stays valid without a newer one.
    static constexpr milliseconds peer_report_lifetime{1'500};

    /// Adds work that this host starts at an endpoint.
    void add_work(const std::string& incarnation, endpoint_load work);

    /// Removes work that has ended; `work` is the amount that was added, including its growth.
    void remove_work(const std::string& incarnation, endpoint_load work);

    /// Adds KV cache tokens to work in progress; ignored if this host has no work at the endpoint.
    void add_tokens(const std::string& incarnation, std::int64_t tokens);

    /// Replaces another host's load table and queue heads by those of a full report.
    void apply_peer_loads(const std::string& host, load_table loads, std::vector<queue_head> heads, time_point now);

    /// Applies the changed entries of another host's load table and replaces its queue heads.
    void apply_peer_load_changes(const std::string& host, const load_table& changed, std::vector<queue_head> heads,
                                 time_point now);

    /// Returns how many hosts have a queued request for the same service that goes ahead of `local_head`. This host
    /// skips as many slots, so that two hosts do not select the same one.
    std::size_t count_peer_heads_ahead(const queue_head& local_head, time_point now) const;

    /// Returns whether another host has a queued request for the service that can still meet its latency objective and
    /// is at least as urgent as `priority`.
    bool has_peer_head_not_late(const std::string& service, int priority, time_point now) const;

    /// Returns the total work of all hosts at an endpoint.
    endpoint_load total_at(const std::string& incarnation, time_point now) const;

    /// Returns by how many KV cache tokens the work of the other hosts at an endpoint has probably grown since their
    /// reports: each of them reports growth of min_reported_kv_token_change only.
    std::int64_t unreported_tokens_at(const std::string& incarnation, time_point now) const;

    /// Returns this host's work.
    const load_table& local_loads() const { return this->local_table; }

private:
    struct peer_report
    {
        load_table loads;
        std::vector<queue_head> heads;
        time_point received_at;
    };

    void count_peer_rows(const load_table& loads, int change) const;
    void add_to_sums(const std::string& incarnation, const endpoint_load& change) const;
    void expire_peers(time_point now) const;

    load_table local_table;
    mutable std::map<std::string, peer_report> peers;
    /// Sums over this host and its peers, kept up to date because one selection looks up many endpoints and there
    /// may be many peers.
    mutable std::unordered_map<std::string, endpoint_load> sums;
    /// How many peers report work at an endpoint.
    mutable std::unordered_map<std::string, int> peers_at;
    /// No peer's report expires before this time.
    mutable time_point next_peer_expiry;
};

} // namespace radishstep::forward
