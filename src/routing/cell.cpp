#include "routing/cell.h"

#include <algorithm>
#include <utility>

namespace radishstep {

namespace {

using duration = runtime_clock::duration;

constexpr std::size_t max_tracked_prefixes = 50'000;

/// Fraction of the prefill time saved by an endpoint that has the prompt's prefix in its KV cache.
constexpr double prefix_cache_saving = 0.3;

/// Decode endpoints whose time per token is within this factor of the best count as equally fast.
constexpr double similar_token_time_factor = 1.3;

/// Weight of a new observation in the exponentially weighted means of a cell.
constexpr double observation_weight = 0.05;

/// How long an endpoint may still report a job after the release of its permit.
constexpr std::chrono::milliseconds released_job_grace{500};

/// Safety margin of the predicted time to the first token, in mean absolute deviations.
constexpr int first_token_deviations = 3;

/// Upper bound of the retry delay in a refusal.
constexpr std::chrono::seconds max_retry_after{30};

/// Maximum number of endpoints per role that run copies of one prompt at the same time, so that a prompt that crashes
/// endpoints crashes at most these before it is refused.
constexpr std::size_t max_endpoints_per_prompt = 2;

duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, duration::period>(span) * factor);
}

} // namespace

cell::cell(std::string name, cell_options options) : cell_name(std::move(name)), options(options) {}

void cell::configure(const pool_config& pool, const std::vector<client_config>& clients)
{
    this->options.first_token_target = pool.first_token_target;
    this->options.block_tokens = pool.block_tokens;
    for (auto& [name, state] : this->endpoint_states)
        state.is_configured = false;
    for (const endpoint_config& config : pool.endpoints)
        this->add_endpoint(config);
    std::erase_if(this->endpoint_states,
                  [](const auto& item) { return !item.second.is_configured && item.second.used_slots == 0; });
    std::map<std::string, int> weights;
    for (const client_config& client : clients)
        weights[client.name] = client.share;
    this->queue.set_weights(std::move(weights));
}

void cell::add_endpoint(const endpoint_config& config)
{
    const bool is_prefill = config.role == endpoint_role::prefill;
    const token_time_estimate token_estimate{is_prefill ? this->options.default_prefill_token_time
                                                        : this->options.default_decode_token_time};
    const auto [found, is_new] = this->endpoint_states.try_emplace(config.name, config, token_estimate);
    const bool has_moved = found->second.config.address != config.address;
    if (has_moved)
        found->second.has_reported = false;
    found->second.config = config;
    found->second.is_configured = true;
}

void cell::begin_rebuild(time_point now)
{
    this->rebuild_until = now + this->options.rebuild_duration;
    this->permits.clear();
    this->permits_by_fingerprint.clear();
    for (auto& [name, state] : this->endpoint_states) {
        state.has_reported = false;
        state.used_slots = 0;
        state.blocks_used = 0;
        state.active_prefills.clear();
        state.unpermitted_jobs.clear();
    }
}

void cell::set_host_reconciled_check(std::function<bool(const std::string&)> predicate)
{
    this->is_host_reconciled = std::move(predicate);
}

cell_decisions cell::handle_request(const permit_request& request, time_point now)
{
    cell_decisions decisions;
    const auto existing = this->permits.find(request.key);
    if (existing != this->permits.end()) {
        existing->second.request.holder = request.holder;
        existing->second.orphaned_at.reset();
        decisions.emplace_back(
            permit_grant{request.key, request.holder, existing->second.prefill, existing->second.decode});
        return decisions;
    }
    if (this->poison.deaths(request.fingerprint, now) >= poison_list::deaths_to_refuse) {
        this->refuse(request, error_kind::poison_request, {}, decisions);
        return decisions;
    }
    if (this->queue.size() >= this->options.max_queued_requests) {
        this->refuse(request, error_kind::overloaded, this->options.first_token_target, decisions);
        return decisions;
    }
    const duration queue_wait = this->predicted_queue_wait(request, now);
    const duration prefill_time = this->min_prefill_time(request, now);
    const duration service_time = prefill_time + this->expected_first_token_excess();
    const duration patience_left = request.patience - request.waited;
    const bool is_rebuilding = now < this->rebuild_until;
    if (!is_rebuilding && queue_wait + service_time > patience_left) {
        this->refuse(request, error_kind::overloaded, queue_wait + service_time - patience_left, decisions);
        return decisions;
    }
    const duration max_queue_wait = std::max(patience_left - service_time, duration::zero());
    this->queue.add({request, now, now + max_queue_wait, prefill_time});
    this->grant_queued_requests(now, decisions);
    return decisions;
}

cell_decisions cell::release(const permit_release& done, time_point now)
{
    cell_decisions decisions;
    this->queue.remove(done.key);
    const auto found = this->permits.find(done.key);
    if (found != this->permits.end()) {
        this->update_estimates(done, now);
        this->remove_permit(done.key, now);
    }
    for (const std::string& name : done.died) {
        const auto state = this->endpoint_states.find(name);
        if (state != this->endpoint_states.end())
            state->second.has_reported = false;
    }
    if (!done.died.empty())
        this->poison.record_death(done.fingerprint, now);
    const bool has_completed = done.tokens > 0 && done.failed.empty();
    if (has_completed)
        this->poison.clear(done.fingerprint);
    this->grant_queued_requests(now, decisions);
    return decisions;
}

void cell::update_estimates(const permit_release& done, time_point now)
{
    const permit_state& permit = this->permits.at(done.key);
    const auto decode = this->endpoint_states.find(permit.decode);
    const bool has_token_time = done.tokens > 1 && done.decode_time > duration::zero();
    if (has_token_time && decode != this->endpoint_states.end())
        decode->second.token_estimate.observe(done.decode_time / done.tokens, now);
    const duration slot_time = now - permit.granted_at;
    if (!done.failed.empty() || done.tokens == 0)
        return;
    this->mean_decode_slot_time += scaled(slot_time - this->mean_decode_slot_time, observation_weight);
    const duration excess = done.service_time - permit.predicted_prefill;
    const duration difference = excess - this->mean_first_token_excess;
    this->mean_first_token_excess += scaled(difference, observation_weight);
    this->first_token_excess_deviation +=
        scaled(std::chrono::abs(difference) - this->first_token_excess_deviation, observation_weight);
}

cell_decisions cell::on_prefill_done(const permit_key& key, duration prefill_time, time_point now)
{
    cell_decisions decisions;
    const auto found = this->permits.find(key);
    if (found == this->permits.end() || found->second.prefill_done)
        return decisions;
    permit_state& permit = found->second;
    permit.prefill_done = true;
    const auto state = this->endpoint_states.find(permit.prefill);
    if (state != this->endpoint_states.end()) {
        end_prefill(state->second, key);
        if (permit.request.prompt_tokens > 0 && prefill_time > duration::zero())
            state->second.token_estimate.observe(prefill_time / permit.request.prompt_tokens, now);
    }
    this->grant_queued_requests(now, decisions);
    return decisions;
}

cell_decisions cell::reconcile_holder(const std::string& holder, const std::vector<open_permit>& reasserted_permits,
                                      const std::vector<poison_strike>& strikes, time_point now)
{
    cell_decisions decisions;
    std::set<permit_key> reasserted_keys;
    for (const open_permit& reasserted : reasserted_permits) {
        reasserted_keys.insert(reasserted.request.key);
        const auto existing = this->permits.find(reasserted.request.key);
        if (existing != this->permits.end()) {
            existing->second.orphaned_at.reset();
            existing->second.request.holder = holder;
            continue;
        }
        permit_state permit;
        permit.request = reasserted.request;
        permit.request.holder = holder;
        permit.prefill = reasserted.prefill;
        permit.decode = reasserted.decode;
        permit.prefill_done = reasserted.prefill_done;
        permit.granted_at = now;
        this->add_permit(std::move(permit));
    }
    std::vector<permit_key> missing_keys;
    for (const auto& [key, permit] : this->permits) {
        const bool is_orphan_of_holder = permit.request.holder == holder && permit.orphaned_at.has_value();
        if (is_orphan_of_holder && !reasserted_keys.contains(key))
            missing_keys.push_back(key);
    }
    for (const permit_key& key : missing_keys) {
        this->cancel_jobs(this->permits.at(key), decisions);
        this->remove_permit(key, now);
    }
    for (const poison_strike& strike : strikes)
        this->poison.merge(strike, now);
    this->grant_queued_requests(now, decisions);
    return decisions;
}

void cell::on_holder_disconnected(const std::string& holder, time_point now)
{
    this->queue.remove_holder(holder);
    for (auto& [key, permit] : this->permits) {
        if (permit.request.holder == holder && !permit.orphaned_at)
            permit.orphaned_at = now;
    }
}

cell_decisions cell::apply_report(const endpoint_report& report, time_point now)
{
    cell_decisions decisions;
    const auto found = this->endpoint_states.find(report.endpoint);
    if (found == this->endpoint_states.end())
        return decisions;
    endpoint_state& state = found->second;
    state.reachable = report.reachable;
    state.leaving = report.leaving;
    if (!report.reachable) {
        state.has_reported = false;
        return decisions;
    }
    state.has_reported = true;
    std::set<std::string> permitted_jobs;
    for (const auto& [key, permit] : this->permits) {
        if (permit.prefill == report.endpoint || permit.decode == report.endpoint)
            permitted_jobs.insert(job_name(key));
    }
    std::map<std::string, time_point> unpermitted_jobs;
    for (const std::string& job : report.jobs) {
        // The endpoint may have sent its report before it ended the job; wait for the next report.
        const bool is_recently_released = this->released_jobs.contains(job);
        if (permitted_jobs.contains(job) || is_recently_released)
            continue;
        const auto previous = state.unpermitted_jobs.find(job);
        const time_point since = previous == state.unpermitted_jobs.end() ? now : previous->second;
        unpermitted_jobs.emplace(job, since);
        const bool is_reconciled = !this->is_host_reconciled || this->is_host_reconciled(host_of_request(job));
        const duration grace =
            is_reconciled ? this->options.unpermitted_job_grace : this->options.unreconciled_host_grace;
        const bool is_cancel_due = now >= this->rebuild_until && since + grace <= now;
        if (is_cancel_due)
            decisions.emplace_back(job_cancellation{report.endpoint, job});
    }
    state.unpermitted_jobs = std::move(unpermitted_jobs);
    this->grant_queued_requests(now, decisions);
    return decisions;
}

void cell::observe_token_time(const std::string& endpoint, duration per_token, time_point now)
{
    const auto found = this->endpoint_states.find(endpoint);
    if (found != this->endpoint_states.end())
        found->second.token_estimate.observe(per_token, now);
}

void cell::set_leaving_addresses(const std::vector<std::string>& addresses)
{
    for (auto& [name, state] : this->endpoint_states)
        state.is_on_leaving_host = contains(addresses, state.config.ip());
}

cell_decisions cell::tick(time_point now)
{
    cell_decisions decisions;
    this->expire_orphaned_permits(now, decisions);
    std::erase_if(this->released_jobs, [now](const auto& item) { return item.second + released_job_grace < now; });
    this->grant_queued_requests(now, decisions);
    return decisions;
}

std::vector<endpoint_summary> cell::endpoints(time_point now) const
{
    std::vector<endpoint_summary> views;
    views.reserve(this->endpoint_states.size());
    for (const auto& [name, state] : this->endpoint_states) {
        views.push_back({name, state.config.role, this->is_usable(state), state.config.slots, state.used_slots,
                         this->expected_token_time(state, now)});
    }
    return views;
}

std::vector<endpoint_config> cell::endpoint_configs() const
{
    std::vector<endpoint_config> configs;
    configs.reserve(this->endpoint_states.size());
    for (const auto& [name, state] : this->endpoint_states)
        configs.push_back(state.config);
    return configs;
}

bool cell::is_usable(const endpoint_state& endpoint) const
{
    const bool accepts_requests = endpoint.is_configured && !endpoint.leaving && !endpoint.is_on_leaving_host;
    return accepts_requests && endpoint.has_reported && endpoint.reachable;
}

int cell::free_slots(const endpoint_state& endpoint) const
{
    // A finished prefill whose KV cache has not been fetched yet occupies KV cache but no slot.
    const bool unpermitted_jobs_take_slots = endpoint.config.role == endpoint_role::decode;
    const int unpermitted_jobs = unpermitted_jobs_take_slots ? static_cast<int>(endpoint.unpermitted_jobs.size()) : 0;
    return endpoint.config.slots - endpoint.used_slots - unpermitted_jobs;
}

bool cell::may_run(const endpoint_state& endpoint, const permit_request& request, time_point now) const
{
    if (!this->is_usable(endpoint) || this->free_slots(endpoint) <= 0)
        return false;
    if (contains(request.avoid, endpoint.config.name) && this->has_alternative(endpoint.config.role, request))
        return false;
    const bool has_kv_capacity =
        endpoint.config.blocks == 0 || endpoint.blocks_used + this->required_blocks(request) <= endpoint.config.blocks;
    return has_kv_capacity && !this->exceeds_copy_limit(request, endpoint.config, now);
}

bool cell::has_alternative(endpoint_role role, const permit_request& request) const
{
    return std::any_of(this->endpoint_states.begin(), this->endpoint_states.end(), [&](const auto& item) {
        const endpoint_state& state = item.second;
        return state.config.role == role && this->is_usable(state) && !contains(request.avoid, state.config.name);
    });
}

bool cell::exceeds_copy_limit(const permit_request& request, const endpoint_config& endpoint, time_point now) const
{
    const auto copies = this->permits_by_fingerprint.find(request.fingerprint);
    if (copies == this->permits_by_fingerprint.end())
        return false;
    const bool is_suspect = this->poison.deaths(request.fingerprint, now) > 0;
    if (is_suspect)
        return true;
    std::set<std::string> copy_endpoints{endpoint.name};
    for (const permit_key& key : copies->second) {
        const permit_state& permit = this->permits.at(key);
        copy_endpoints.insert(endpoint.role == endpoint_role::prefill ? permit.prefill : permit.decode);
    }
    return copy_endpoints.size() > max_endpoints_per_prompt;
}

cell::endpoint_state* cell::pick_prefill(const permit_request& request, time_point now)
{
    endpoint_state* best = nullptr;
    duration best_time{};
    for (auto& [name, state] : this->endpoint_states) {
        if (state.config.role != endpoint_role::prefill || !this->may_run(state, request, now))
            continue;
        const duration time = this->predicted_prefill_time(state, request, now);
        if (best != nullptr && time >= best_time)
            continue;
        best = &state;
        best_time = time;
    }
    return best;
}

cell::endpoint_state* cell::pick_decode(const permit_request& request, time_point now)
{
    std::vector<std::pair<endpoint_state*, duration>> candidates;
    duration best_token_time = duration::max();
    for (auto& [name, state] : this->endpoint_states) {
        if (state.config.role != endpoint_role::decode || !this->may_run(state, request, now))
            continue;
        const duration token_time = this->expected_token_time(state, now);
        best_token_time = std::min(best_token_time, token_time);
        candidates.emplace_back(&state, token_time);
    }
    endpoint_state* best = nullptr;
    double best_load = 0;
    for (const auto& [state, token_time] : candidates) {
        if (token_time > scaled(best_token_time, similar_token_time_factor))
            continue;
        const double load = static_cast<double>(state->used_slots) / state->config.slots;
        if (best != nullptr && load >= best_load)
            continue;
        best = state;
        best_load = load;
    }
    return best;
}

duration cell::predicted_prefill_time(const endpoint_state& endpoint, const permit_request& request,
                                      time_point now) const
{
    const duration prefill_time = this->expected_token_time(endpoint, now) * std::max(request.prompt_tokens, 1);
    const auto prefix_endpoint = this->prefix_endpoints.find(request.prefix);
    const bool has_cached_prefix =
        prefix_endpoint != this->prefix_endpoints.end() && prefix_endpoint->second == endpoint.config.name;
    return has_cached_prefix ? scaled(prefill_time, 1.0 - prefix_cache_saving) : prefill_time;
}

duration cell::expected_first_token_excess() const
{
    return this->mean_first_token_excess + this->first_token_excess_deviation * first_token_deviations;
}

duration cell::min_prefill_time(const permit_request& request, time_point now) const
{
    std::optional<duration> best;
    for (const auto& [name, state] : this->endpoint_states) {
        if (state.config.role != endpoint_role::prefill || !this->is_usable(state))
            continue;
        const duration time = this->expected_token_time(state, now) * std::max(request.prompt_tokens, 1);
        best = best ? std::min(*best, time) : time;
    }
    return best.value_or(this->options.default_prefill_token_time * request.prompt_tokens);
}

duration cell::predicted_queue_wait(const permit_request& request, time_point now) const
{
    const int prefill_endpoints = this->count_usable(endpoint_role::prefill);
    if (prefill_endpoints == 0)
        return duration::zero();
    const queue_backlog ahead = this->queue.backlog_ahead_of(request.client, request.priority);
    duration remaining_prefill{};
    int busy_prefill_endpoints = 0;
    int free_decode_slots = 0;
    int used_decode_slots = 0;
    for (const auto& [name, state] : this->endpoint_states) {
        if (!this->is_usable(state))
            continue;
        if (state.config.role == endpoint_role::decode) {
            free_decode_slots += std::max(this->free_slots(state), 0);
            used_decode_slots += state.used_slots;
            continue;
        }
        if (this->free_slots(state) <= 0)
            ++busy_prefill_endpoints;
        for (const permit_key& key : state.active_prefills) {
            const permit_state& permit = this->permits.at(key);
            remaining_prefill += std::max(permit.granted_at + permit.predicted_prefill - now, duration::zero());
        }
    }
    const bool has_free_prefill = busy_prefill_endpoints < prefill_endpoints && ahead.count == 0;
    const duration prefill_wait =
        has_free_prefill ? duration::zero() : (ahead.total_prefill_time + remaining_prefill) / prefill_endpoints;
    const int missing_slots = static_cast<int>(ahead.count) + 1 - free_decode_slots;
    const bool has_enough_slots = missing_slots <= 0 || used_decode_slots == 0;
    const duration slot_wait =
        has_enough_slots ? duration::zero() : this->mean_decode_slot_time * missing_slots / used_decode_slots;
    return std::max(prefill_wait, slot_wait);
}

duration cell::overdue_token_time(const endpoint_state& endpoint, time_point now) const
{
    duration slowest{};
    for (const permit_key& key : endpoint.active_prefills) {
        const permit_state& permit = this->permits.at(key);
        slowest = std::max(slowest, (now - permit.granted_at) / std::max(permit.request.prompt_tokens, 1));
    }
    return slowest;
}

duration cell::expected_token_time(const endpoint_state& endpoint, time_point now) const
{
    return std::max(endpoint.token_estimate.expected(now), this->overdue_token_time(endpoint, now));
}

int cell::required_blocks(const permit_request& request) const
{
    const int tokens = request.prompt_tokens + request.answer_tokens;
    return (tokens + this->options.block_tokens - 1) / this->options.block_tokens;
}

int cell::count_usable(endpoint_role role) const
{
    return static_cast<int>(
        std::count_if(this->endpoint_states.begin(), this->endpoint_states.end(), [&](const auto& item) {
            return item.second.config.role == role && this->is_usable(item.second);
        }));
}

void cell::add_permit(permit_state permit)
{
    permit.blocks = this->required_blocks(permit.request);
    const auto prefill = this->endpoint_states.find(permit.prefill);
    if (prefill != this->endpoint_states.end()) {
        if (!permit.prefill_done) {
            ++prefill->second.used_slots;
            prefill->second.active_prefills.insert(permit.request.key);
        }
        prefill->second.unpermitted_jobs.erase(job_name(permit.request.key));
    }
    const auto decode = this->endpoint_states.find(permit.decode);
    if (decode != this->endpoint_states.end()) {
        ++decode->second.used_slots;
        decode->second.blocks_used += permit.blocks;
        decode->second.unpermitted_jobs.erase(job_name(permit.request.key));
    }
    this->permits_by_fingerprint[permit.request.fingerprint].insert(permit.request.key);
    this->permits.emplace(permit.request.key, std::move(permit));
}

void cell::remove_permit(const permit_key& key, time_point now)
{
    const auto found = this->permits.find(key);
    const permit_state& permit = found->second;
    const auto prefill = this->endpoint_states.find(permit.prefill);
    if (prefill != this->endpoint_states.end())
        end_prefill(prefill->second, key);
    const auto decode = this->endpoint_states.find(permit.decode);
    if (decode != this->endpoint_states.end()) {
        --decode->second.used_slots;
        decode->second.blocks_used -= permit.blocks;
    }
    const auto copies = this->permits_by_fingerprint.find(permit.request.fingerprint);
    copies->second.erase(permit.request.key);
    if (copies->second.empty())
        this->permits_by_fingerprint.erase(copies);
    this->released_jobs[job_name(key)] = now;
    this->permits.erase(found);
}

void cell::end_prefill(endpoint_state& endpoint, const permit_key& key)
{
    if (endpoint.active_prefills.erase(key) > 0)
        --endpoint.used_slots;
}

void cell::refuse_expired(time_point now, cell_decisions& decisions)
{
    for (const queued_request& entry : this->queue.pop_expired(now)) {
        const bool has_endpoints =
            this->count_usable(endpoint_role::prefill) > 0 && this->count_usable(endpoint_role::decode) > 0;
        const error_kind kind = has_endpoints ? error_kind::overloaded : error_kind::no_endpoint;
        this->refuse(entry.request, kind, this->options.first_token_target, decisions);
    }
}

void cell::grant_queued_requests(time_point now, cell_decisions& decisions)
{
    this->refuse_expired(now, decisions);
    while (true) {
        endpoint_state* prefill = nullptr;
        endpoint_state* decode = nullptr;
        const auto fits = [&](const queued_request& entry) {
            prefill = this->pick_prefill(entry.request, now);
            decode = prefill == nullptr ? nullptr : this->pick_decode(entry.request, now);
            return decode != nullptr;
        };
        const std::optional<queued_request> next = this->queue.pop_first_fitting(fits);
        if (!next)
            return;
        permit_state permit;
        permit.request = next->request;
        permit.prefill = prefill->config.name;
        permit.decode = decode->config.name;
        permit.granted_at = now;
        permit.predicted_prefill = this->predicted_prefill_time(*prefill, next->request, now);
        // Dropping all prefixes when the map is full only costs cache hits until they are learned again.
        if (this->prefix_endpoints.size() >= max_tracked_prefixes)
            this->prefix_endpoints.clear();
        this->prefix_endpoints[next->request.prefix] = permit.prefill;
        decisions.emplace_back(permit_grant{permit.request.key, permit.request.holder, permit.prefill, permit.decode});
        this->add_permit(std::move(permit));
    }
}

void cell::refuse(const permit_request& request, error_kind kind, duration retry_after, cell_decisions& decisions) const
{
    const duration bounded = std::min<duration>(retry_after, max_retry_after);
    decisions.emplace_back(permit_refusal{request.key, request.holder, kind, bounded});
}

void cell::cancel_jobs(const permit_state& permit, cell_decisions& decisions) const
{
    const std::string job = job_name(permit.request.key);
    decisions.emplace_back(job_cancellation{permit.prefill, job});
    decisions.emplace_back(job_cancellation{permit.decode, job});
}

void cell::expire_orphaned_permits(time_point now, cell_decisions& decisions)
{
    std::vector<permit_key> expired;
    for (const auto& [key, permit] : this->permits) {
        if (permit.orphaned_at && *permit.orphaned_at + this->options.orphaned_permit_grace <= now)
            expired.push_back(key);
    }
    for (const permit_key& key : expired) {
        this->cancel_jobs(this->permits.at(key), decisions);
        this->remove_permit(key, now);
    }
}

} // namespace radishstep
