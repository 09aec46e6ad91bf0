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
#include "routing/token_time_estimate.h"
#include "routing/permit.h"
#include "routing/poison_list.h"

namespace radishstep {

/// The figures a cell decides by.
struct cell_options
{
    runtime_clock::duration first_token_target = std::chrono::milliseconds{1'100};
    runtime_clock::duration usual_prefill_token = std::chrono::microseconds{100};
    runtime_clock::duration usual_decode_token = std::chrono::milliseconds{20};
    runtime_clock::duration orphan_grace = std::chrono::milliseconds{1'000};
    runtime_clock::duration uncovered_grace = std::chrono::milliseconds{700};
    runtime_clock::duration unheard_grace = std::chrono::milliseconds{1'500};
    runtime_clock::duration rebuild_time = std::chrono::milliseconds{1'500};
    int block_tokens = 16;
    std::size_t max_waiting = 20'000;

    bool operator==(const cell_options&) const = default;
};

/// What an endpoint said of itself.
struct endpoint_report
{
    std::string endpoint;
    bool reachable = false;
    bool leaving = false;
    std::string incarnation;
    std::vector<std::string> jobs;

    bool operator==(const endpoint_report&) const = default;
};

/// An endpoint as a cell sees it, for status pages.
struct endpoint_summary
{
    std::string name;
    endpoint_role role = endpoint_role::prefill;
    bool usable = false;
    int slots = 0;
    int used = 0;
    runtime_clock::duration token_time{};

    bool operator==(const endpoint_summary&) const = default;
};

/// Decides for the endpoints of one pool: exact slots, one fair queue, early refusal. It holds no
/// sockets and no clock: each call is told the time and returns what has to be done.
class cell
{
public:
    explicit cell(std::string name, cell_options options = {});

    /// Takes the endpoints and the clients' shares of a new configuration.
    void configure(const pool_config& pool, const std::vector<client_config>& clients);

    /// Sets the hook that tells whether a host is known to have asserted all its permits here, or to be
    /// gone. The jobs of other hosts are cancelled later, in case this broker is the one cut off.
    void set_host_reconciled_check(std::function<bool(const std::string& host)> hook);

    /// Starts over as the owner with no permits: endpoints are used once they reported, and nothing is
    /// cancelled until holders had the time to assert their permits.
    void begin_rebuild(time_point now);

    /// Takes a request for a permit.
    cell_decisions ask(const permit_request& wish, time_point now);

    /// Takes a permit, or a waiting request, back.
    cell_decisions release(const permit_release& done, time_point now);

    /// Frees the prefill endpoint of a permit.
    cell_decisions prefill_done(const permit_key& key, runtime_clock::duration prefill_time, time_point now);

    /// Takes all that a holder holds; what it did not name is not held any more.
    cell_decisions reassert(const std::string& holder, const std::vector<open_permit>& permits,
                            const std::vector<poison_strike>& strikes, time_point now);

    /// Notes that the connection to a holder is gone.
    void on_holder_disconnected(const std::string& holder, time_point now);

    /// Takes what an endpoint reports of itself.
    cell_decisions report(const endpoint_report& heard, time_point now);

    /// Takes a pace that the streams of one holder saw.
    void observe_token_time(const std::string& endpoint, runtime_clock::duration per_token, time_point now);

    /// Sets the IP numbers of leaving hosts: endpoints there get no new work.
    void set_leaving_addresses(const std::vector<std::string>& addresses);

    /// Does what is due by `now`.
    cell_decisions tick(time_point now);

    const std::string& name() const { return this->cell_name; }
    std::size_t queued_count() const { return this->queue.size(); }
    std::size_t open_permits() const { return this->permits.size(); }
    std::vector<endpoint_summary> endpoints(time_point now) const;
    std::vector<endpoint_config> endpoint_configs() const;

private:
    struct endpoint_state
    {
        endpoint_state(endpoint_config config, token_time_estimate pace) : config(std::move(config)), pace(pace) {}

        endpoint_config config;
        token_time_estimate pace;
        bool configured = true;
        bool reported = false;
        bool reachable = false;
        bool leaving = false;
        bool on_leaving_host = false;
        int used = 0;
        int blocks_used = 0;
        std::set<permit_key> reading;
        std::map<std::string, time_point> uncovered;
    };
    struct permit_state
    {
        permit_request ask;
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
    bool may_run(const endpoint_state& endpoint, const permit_request& wish, time_point now) const;
    endpoint_state* pick_prefill(const permit_request& wish, time_point now);
    endpoint_state* pick_decode(const permit_request& wish, time_point now);
    runtime_clock::duration prefill_time(const endpoint_state& endpoint, const permit_request& wish, time_point now) const;
    runtime_clock::duration expected_excess() const;
    runtime_clock::duration best_prefill_time(const permit_request& wish, time_point now) const;
    runtime_clock::duration predicted_wait(const permit_request& wish, time_point now) const;
    runtime_clock::duration overdue_pace(const endpoint_state& endpoint, time_point now) const;
    runtime_clock::duration token_time(const endpoint_state& endpoint, time_point now) const;
    /// Returns true when an endpoint of the role can be used that the request does not avoid.
    bool has_alternative(endpoint_role role, const permit_request& wish) const;
    bool is_poison_held_back(const permit_request& wish, const endpoint_config& endpoint, time_point now) const;
    int blocks_for(const permit_request& wish) const;
    int usable_count(endpoint_role role) const;
    void take(permit_state permit);
    void drop(const permit_key& key, time_point now);
    static void end_reading(endpoint_state& endpoint, const permit_key& key);
    void refuse_expired(time_point now, cell_decisions& decisions);
    void pump(time_point now, cell_decisions& decisions);
    void refuse(const permit_request& wish, error_kind kind, runtime_clock::duration retry_after,
                cell_decisions& decisions) const;
    void cancel_permit(const permit_state& permit, cell_decisions& decisions) const;
    void expire_orphans(time_point now, cell_decisions& decisions);
    void learn_answer_time(const permit_release& done, time_point now);

    std::string cell_name;
    cell_options options;
    std::map<std::string, endpoint_state> states;
    std::map<permit_key, permit_state> permits;
    std::map<std::uint64_t, std::set<permit_key>> by_fingerprint;
    std::map<std::uint64_t, std::string> prefix_homes;
    std::map<std::string, time_point> released_jobs;
    fair_queue queue;
    poison_list poison;
    std::function<bool(const std::string&)> host_check;
    runtime_clock::duration mean_decode_time = std::chrono::seconds{2};
    /// What the way to the first token takes beyond the predicted prefill: mean and mean deviation.
    runtime_clock::duration mean_excess{};
    runtime_clock::duration excess_deviation{};
    time_point rebuild_until;
};

} // namespace radishstep
