#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "config/site_config.h"
#include "routing/fair_queue.h"
#include "routing/permit.h"
#include "routing/poison_list.h"
#include "routing/token_time_estimate.h"

namespace radishstep {

/// Limits and default estimates of a cell.
struct cell_options
{
    runtime_clock::duration first_token_target = std::chrono::milliseconds{1'100};
    runtime_clock::duration default_prefill_token_time = std::chrono::microseconds{100};
    runtime_clock::duration default_decode_token_time = std::chrono::milliseconds{20};
    /// How long a disconnected holder may take to reassert a permit before its jobs are cancelled.
    runtime_clock::duration orphaned_permit_grace = std::chrono::milliseconds{1'000};
    /// How long an endpoint may report a job that no permit covers before the job is cancelled.
    runtime_clock::duration unpermitted_job_grace = std::chrono::milliseconds{700};
    /// The same for jobs of a host that has not reasserted its permits yet. Longer, because this broker may be the one
    /// that is cut off from the rest.
    runtime_clock::duration unreconciled_host_grace = std::chrono::milliseconds{1'500};
    /// How long holders may take to reassert their permits after a rebuild has begun. Until then no job is cancelled
    /// for lack of a permit.
    runtime_clock::duration rebuild_duration = std::chrono::milliseconds{1'500};
    int block_tokens = 16;
    std::size_t max_queued_requests = 20'000;

    bool operator==(const cell_options&) const = default;
};

/// The answer of an endpoint to a status probe. An endpoint that reports `leaving` gets no new requests.
struct endpoint_report
{
    std::string endpoint;
    bool reachable = false;
    bool leaving = false;
    std::string incarnation;
    std::vector<std::string> jobs;

    bool operator==(const endpoint_report&) const = default;
};

/// The state of an endpoint in a cell, for status pages.
struct endpoint_summary
{
    std::string name;
    endpoint_role role = endpoint_role::prefill;
    bool usable = false;
    int slots = 0;
    /// Slots in use by permits.
    int used = 0;
    runtime_clock::duration token_time{};

    bool operator==(const endpoint_summary&) const = default;
};

/// Admission control and endpoint selection for one pool. A pool is the set of prefill and decode endpoints that serve
/// the same models; its cell has the same name and belongs to one broker at a time. The cell accounts for every slot in
/// use, queues requests fairly by client, and refuses a request at once when its predicted wait exceeds its patience.
/// It owns no sockets and reads no clock: each call gets the current time and returns the decisions that its caller has
/// to carry out.
///
/// The holder of a permit is the entry process that requested it. After a disconnection or a change of the cell's
/// owner, holders reassert their open permits, and the cell restores its accounts from them.
class cell
{
public:
    explicit cell(std::string name, cell_options options = {});

    /// Applies the endpoints of a new configuration, and the clients' shares as their weights in the queue.
    void configure(const pool_config& pool, const std::vector<client_config>& clients);

    /// Sets the predicate that tells whether all permits of a host are known here: the host has reasserted them, or it
    /// is not a member. Jobs of other hosts are cancelled later, because this broker may be the one that is
    /// partitioned.
    void set_host_reconciled_check(std::function<bool(const std::string& host)> predicate);

    /// Drops all permits, because the cell has a new owner or this process was paused. In either case another host may
    /// have granted permits for the same endpoints, so the state may be outdated; it is restored from the endpoints'
    /// reports and the permits that holders reassert.
    /// Endpoints are used again after their next report, and no job is cancelled until holders have had
    /// `rebuild_duration` to reassert their permits.
    void begin_rebuild(time_point now);

    /// Grants, queues or refuses a request for a permit.
    cell_decisions handle_request(const permit_request& request, time_point now);

    /// Releases a permit or removes a queued request.
    cell_decisions release(const permit_release& done, time_point now);

    /// Releases the prefill slot of a permit.
    cell_decisions on_prefill_done(const permit_key& key, runtime_clock::duration prefill_time, time_point now);

    /// Restores the open permits that a holder reasserts. Its orphaned permits that are not among them are
    /// cancelled.
    cell_decisions reconcile_holder(const std::string& holder, const std::vector<open_permit>& reasserted_permits,
                                    const std::vector<poison_strike>& strikes, time_point now);

    /// Marks the permits of a disconnected holder as orphaned and removes its queued requests.
    void on_holder_disconnected(const std::string& holder, time_point now);

    /// Applies the result of a status probe; cancels jobs that have run without a permit for too long.
    cell_decisions apply_report(const endpoint_report& report, time_point now);

    /// Records a time per token that a holder measured on its streams.
    void observe_token_time(const std::string& endpoint, runtime_clock::duration per_token, time_point now);

    /// Sets the IP addresses of leaving hosts; their endpoints get no new requests.
    void set_leaving_addresses(const std::vector<std::string>& addresses);

    /// Expires orphaned permits and queued requests that are due by `now`, and grants what can run.
    cell_decisions tick(time_point now);

    const std::string& name() const { return this->cell_name; }
    std::size_t queued_count() const { return this->queue.size(); }
    std::size_t open_permits() const { return this->permits.size(); }
    std::vector<endpoint_summary> endpoints(time_point now) const;
    std::vector<endpoint_config> endpoint_configs() const;

private:
    struct endpoint_state
    {
        endpoint_state(endpoint_config config, token_time_estimate token_estimate)
            : config(std::move(config)), token_estimate(token_estimate)
        {
        }

        endpoint_config config;
        token_time_estimate token_estimate;
        bool is_configured = true;
        bool has_reported = false;
        bool reachable = false;
        bool leaving = false;
        bool is_on_leaving_host = false;
        int used_slots = 0;
        int blocks_used = 0;
        std::set<permit_key> active_prefills;
        std::map<std::string, time_point> unpermitted_jobs;
    };
    struct permit_state
    {
        permit_request request;
        std::string prefill;
        std::string decode;
        bool prefill_done = false;
        int blocks = 0;
        runtime_clock::duration predicted_prefill{};
        time_point granted_at;
        std::optional<time_point> orphaned_at;
    };

    void add_endpoint(const endpoint_config& config);
    bool is_usable(const endpoint_state& endpoint) const;
    int free_slots(const endpoint_state& endpoint) const;
    bool may_run(const endpoint_state& endpoint, const permit_request& request, time_point now) const;
    endpoint_state* pick_prefill(const permit_request& request, time_point now);
    endpoint_state* pick_decode(const permit_request& request, time_point now);
    runtime_clock::duration predicted_prefill_time(const endpoint_state& endpoint, const permit_request& request,
                                                   time_point now) const;
    /// Returns the mean excess time to the first token plus a safety margin.
    runtime_clock::duration expected_first_token_excess() const;
    runtime_clock::duration min_prefill_time(const permit_request& request, time_point now) const;
    runtime_clock::duration predicted_queue_wait(const permit_request& request, time_point now) const;
    runtime_clock::duration overdue_token_time(const endpoint_state& endpoint, time_point now) const;
    runtime_clock::duration expected_token_time(const endpoint_state& endpoint, time_point now) const;
    /// Returns whether the role has a usable endpoint that the request does not avoid.
    bool has_alternative(endpoint_role role, const permit_request& request) const;
    /// Returns whether copies of the prompt on other endpoints keep it off this one, which limits how many endpoints
    /// one prompt can crash.
    bool exceeds_copy_limit(const permit_request& request, const endpoint_config& endpoint, time_point now) const;
    int required_blocks(const permit_request& request) const;
    int count_usable(endpoint_role role) const;
    void add_permit(permit_state permit);
    void remove_permit(const permit_key& key, time_point now);
    static void end_prefill(endpoint_state& endpoint, const permit_key& key);
    void refuse_expired(time_point now, cell_decisions& decisions);
    void grant_queued_requests(time_point now, cell_decisions& decisions);
    void refuse(const permit_request& request, error_kind kind, runtime_clock::duration retry_after,
                cell_decisions& decisions) const;
    void cancel_jobs(const permit_state& permit, cell_decisions& decisions) const;
    void expire_orphaned_permits(time_point now, cell_decisions& decisions);
    void update_estimates(const permit_release& done, time_point now);

    std::string cell_name;
    cell_options options;
    std::map<std::string, endpoint_state> endpoint_states;
    std::map<permit_key, permit_state> permits;
    std::map<std::uint64_t, std::set<permit_key>> permits_by_fingerprint;
    std::map<std::uint64_t, std::string> prefix_endpoints;
    std::map<std::string, time_point> released_jobs;
    fair_queue queue;
    poison_list poison;
    std::function<bool(const std::string&)> is_host_reconciled;
    runtime_clock::duration mean_decode_slot_time = std::chrono::seconds{2};
    /// Time from the start of the prefill to the first token beyond the predicted prefill time: mean and mean
    /// absolute deviation.
    runtime_clock::duration mean_first_token_excess{};
    runtime_clock::duration first_token_excess_deviation{};
    time_point rebuild_until;
};

} // namespace radishstep
