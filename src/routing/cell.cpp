#include "routing/cell.h"

#include <algorithm>
#include <utility>

namespace radishstep {

namespace {

using duration = runtime_clock::duration;

constexpr std::size_t max_prefix_homes = 50'000;

/// A prefill endpoint that holds the prompt's prefix saves about this part of the reading.
constexpr double prefix_saving = 0.3;

/// Decode endpoints whose pace is within this factor of the best count as equally fast.
constexpr double same_pace_factor = 1.3;

/// Share of a new observation in the mean time that a decode slot is held.
constexpr double decode_time_weight = 0.05;

/// How long an endpoint's report may still name a job whose permit was released.
constexpr std::chrono::milliseconds release_settle_time{500};

/// So many mean deviations are added to the expected time to a first token.
constexpr int excess_deviations = 3;

/// The farthest time into the future that a refusal asks a caller to wait.
constexpr std::chrono::seconds max_retry_after{30};

/// At most this many endpoints of a role run copies of one prompt at the same time, so that a prompt
/// that stops endpoints cannot take down more before it is known.
constexpr std::size_t max_spread_of_prompt = 2;

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
    for (auto& [name, state] : this->states)
        state.configured = false;
    for (const endpoint_config& config : pool.endpoints)
        this->add_endpoint(config);
    std::erase_if(this->states, [](const auto& item) { return !item.second.configured && item.second.used == 0; });
    std::map<std::string, int> shares;
    for (const client_config& client : clients)
        shares[client.name] = client.share;
    this->queue.set_shares(std::move(shares));
}

void cell::add_endpoint(const endpoint_config& config)
{
    const bool reads = config.role == endpoint_role::prefill;
    const token_time_estimate pace{reads ? this->options.usual_prefill_token : this->options.usual_decode_token};
    const auto [found, is_new] = this->states.try_emplace(config.name, config, pace);
    const bool has_moved = found->second.config.address != config.address;
    if (has_moved)
        found->second.reported = false;
    found->second.config = config;
    found->second.configured = true;
}

void cell::begin_rebuild(time_point now)
{
    this->rebuild_until = now + this->options.rebuild_time;
    this->permits.clear();
    this->by_fingerprint.clear();
    for (auto& [name, state] : this->states) {
        state.reported = false;
        state.used = 0;
        state.blocks_used = 0;
        state.reading.clear();
        state.uncovered.clear();
    }
}

void cell::set_host_reconciled_check(std::function<bool(const std::string&)> hook)
{
    this->host_check = std::move(hook);
}

cell_decisions cell::ask(const permit_request& wish, time_point now)
{
    cell_decisions decisions;
    const auto held = this->permits.find(wish.key);
    if (held != this->permits.end()) {
        held->second.ask.holder = wish.holder;
        held->second.orphaned_at.reset();
        decisions.emplace_back(permit_grant{wish.key, wish.holder, held->second.prefill, held->second.decode});
        return decisions;
    }
    if (this->poison.deaths(wish.fingerprint, now) >= poison_list::deaths_to_refuse) {
        this->refuse(wish, error_kind::poison_request, {}, decisions);
        return decisions;
    }
    if (this->queue.size() >= this->options.max_waiting) {
        this->refuse(wish, error_kind::overloaded, this->options.first_token_target, decisions);
        return decisions;
    }
    const duration wait = this->predicted_wait(wish, now);
    const duration reading = this->best_prefill_time(wish, now);
    const duration service = reading + this->expected_excess();
    const duration patience_left = wish.patience - wish.waited;
    const bool is_rebuilding = now < this->rebuild_until;
    if (!is_rebuilding && wait + service > patience_left) {
        this->refuse(wish, error_kind::overloaded, wait + service - patience_left, decisions);
        return decisions;
    }
    const duration longest_wait = std::max(patience_left - service, duration::zero());
    this->queue.add({wish, now, now + longest_wait, reading});
    this->pump(now, decisions);
    return decisions;
}

cell_decisions cell::release(const permit_release& done, time_point now)
{
    cell_decisions decisions;
    this->queue.remove(done.key);
    const auto found = this->permits.find(done.key);
    if (found != this->permits.end()) {
        this->learn_answer_time(done, now);
        this->drop(done.key, now);
    }
    for (const std::string& name : done.died) {
        const auto state = this->states.find(name);
        if (state != this->states.end())
            state->second.reported = false;
    }
    if (!done.died.empty())
        this->poison.strike(done.fingerprint, now);
    const bool ran_to_its_end = done.tokens > 0 && done.failed.empty();
    if (ran_to_its_end)
        this->poison.clear(done.fingerprint);
    this->pump(now, decisions);
    return decisions;
}

void cell::learn_answer_time(const permit_release& done, time_point now)
{
    const permit_state& permit = this->permits.at(done.key);
    const auto decode = this->states.find(permit.decode);
    const bool has_pace = done.tokens > 1 && done.decode_time > duration::zero();
    if (has_pace && decode != this->states.end())
        decode->second.pace.observe(done.decode_time / done.tokens, now);
    const duration held = now - permit.granted_at;
    if (!done.failed.empty() || done.tokens == 0)
        return;
    this->mean_decode_time += scaled(held - this->mean_decode_time, decode_time_weight);
    const duration excess = done.service_time - permit.predicted_prefill;
    const duration difference = excess - this->mean_excess;
    this->mean_excess += scaled(difference, decode_time_weight);
    this->excess_deviation += scaled(std::chrono::abs(difference) - this->excess_deviation, decode_time_weight);
}

cell_decisions cell::prefill_done(const permit_key& key, duration prefill_time, time_point now)
{
    cell_decisions decisions;
    const auto found = this->permits.find(key);
    if (found == this->permits.end() || found->second.prefill_done)
        return decisions;
    permit_state& permit = found->second;
    permit.prefill_done = true;
    const auto state = this->states.find(permit.prefill);
    if (state != this->states.end()) {
        end_reading(state->second, key);
        if (permit.ask.prompt_tokens > 0 && prefill_time > duration::zero())
            state->second.pace.observe(prefill_time / permit.ask.prompt_tokens, now);
    }
    this->pump(now, decisions);
    return decisions;
}

cell_decisions cell::reassert(const std::string& holder, const std::vector<open_permit>& open,
                              const std::vector<poison_strike>& strikes, time_point now)
{
    cell_decisions decisions;
    std::set<permit_key> named;
    for (const open_permit& held : open) {
        named.insert(held.ask.key);
        const auto known = this->permits.find(held.ask.key);
        if (known != this->permits.end()) {
            known->second.orphaned_at.reset();
            known->second.ask.holder = holder;
            continue;
        }
        permit_state permit;
        permit.ask = held.ask;
        permit.ask.holder = holder;
        permit.prefill = held.prefill;
        permit.decode = held.decode;
        permit.prefill_done = held.prefill_done;
        permit.granted_at = now;
        this->take(std::move(permit));
    }
    std::vector<permit_key> gone;
    for (const auto& [key, permit] : this->permits) {
        const bool is_orphan_of_holder = permit.ask.holder == holder && permit.orphaned_at.has_value();
        if (is_orphan_of_holder && !named.contains(key))
            gone.push_back(key);
    }
    for (const permit_key& key : gone) {
        this->cancel_permit(this->permits.at(key), decisions);
        this->drop(key, now);
    }
    for (const poison_strike& strike : strikes)
        this->poison.merge(strike, now);
    this->pump(now, decisions);
    return decisions;
}

void cell::on_holder_disconnected(const std::string& holder, time_point now)
{
    this->queue.remove_holder(holder);
    for (auto& [key, permit] : this->permits) {
        if (permit.ask.holder == holder && !permit.orphaned_at)
            permit.orphaned_at = now;
    }
}

cell_decisions cell::report(const endpoint_report& heard, time_point now)
{
    cell_decisions decisions;
    const auto found = this->states.find(heard.endpoint);
    if (found == this->states.end())
        return decisions;
    endpoint_state& state = found->second;
    state.reachable = heard.reachable;
    state.leaving = heard.leaving;
    if (!heard.reachable) {
        state.reported = false;
        return decisions;
    }
    state.reported = true;
    std::set<std::string> covered;
    for (const auto& [key, permit] : this->permits) {
        if (permit.prefill == heard.endpoint || permit.decode == heard.endpoint)
            covered.insert(job_name(key));
    }
    std::map<std::string, time_point> uncovered;
    for (const std::string& job : heard.jobs) {
        // The report may be older than the release; the next one will tell.
        const bool is_released_just_now = this->released_jobs.contains(job);
        if (covered.contains(job) || is_released_just_now)
            continue;
        const auto before = state.uncovered.find(job);
        const time_point since = before == state.uncovered.end() ? now : before->second;
        uncovered.emplace(job, since);
        const bool host_is_sure = !this->host_check || this->host_check(host_of_request(job));
        const duration grace = host_is_sure ? this->options.uncovered_grace : this->options.unheard_grace;
        const bool is_settled = now >= this->rebuild_until && since + grace <= now;
        if (is_settled)
            decisions.emplace_back(job_cancellation{heard.endpoint, job});
    }
    state.uncovered = std::move(uncovered);
    this->pump(now, decisions);
    return decisions;
}

void cell::observe_token_time(const std::string& endpoint, duration per_token, time_point now)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end())
        found->second.pace.observe(per_token, now);
}

void cell::set_leaving_addresses(const std::vector<std::string>& addresses)
{
    for (auto& [name, state] : this->states)
        state.on_leaving_host = contains(addresses, state.config.ip());
}

cell_decisions cell::tick(time_point now)
{
    cell_decisions decisions;
    this->expire_orphans(now, decisions);
    std::erase_if(this->released_jobs, [now](const auto& item) { return item.second + release_settle_time < now; });
    this->pump(now, decisions);
    return decisions;
}

std::vector<endpoint_summary> cell::endpoints(time_point now) const
{
    std::vector<endpoint_summary> views;
    views.reserve(this->states.size());
    for (const auto& [name, state] : this->states) {
        views.push_back({name, state.config.role, this->is_usable(state), state.config.slots, state.used,
                         this->token_time(state, now)});
    }
    return views;
}

std::vector<endpoint_config> cell::endpoint_configs() const
{
    std::vector<endpoint_config> configs;
    configs.reserve(this->states.size());
    for (const auto& [name, state] : this->states)
        configs.push_back(state.config);
    return configs;
}

bool cell::is_usable(const endpoint_state& endpoint) const
{
    const bool is_wanted = endpoint.configured && !endpoint.leaving && !endpoint.on_leaving_host;
    return is_wanted && endpoint.reported && endpoint.reachable;
}

int cell::free_slots(const endpoint_state& endpoint) const
{
    // A prefill result that waits to be fetched takes memory, but no slot.
    const bool uncovered_take_slots = endpoint.config.role == endpoint_role::decode;
    const int uncovered = uncovered_take_slots ? static_cast<int>(endpoint.uncovered.size()) : 0;
    return endpoint.config.slots - endpoint.used - uncovered;
}

bool cell::may_run(const endpoint_state& endpoint, const permit_request& wish, time_point now) const
{
    if (!this->is_usable(endpoint) || this->free_slots(endpoint) <= 0)
        return false;
    if (contains(wish.avoid, endpoint.config.name) && this->has_alternative(endpoint.config.role, wish))
        return false;
    const bool has_memory =
        endpoint.config.blocks == 0 || endpoint.blocks_used + this->blocks_for(wish) <= endpoint.config.blocks;
    return has_memory && !this->is_poison_held_back(wish, endpoint.config, now);
}

bool cell::has_alternative(endpoint_role role, const permit_request& wish) const
{
    return std::any_of(this->states.begin(), this->states.end(), [&](const auto& item) {
        const endpoint_state& state = item.second;
        return state.config.role == role && this->is_usable(state) && !contains(wish.avoid, state.config.name);
    });
}

bool cell::is_poison_held_back(const permit_request& wish, const endpoint_config& endpoint, time_point now) const
{
    const auto copies = this->by_fingerprint.find(wish.fingerprint);
    if (copies == this->by_fingerprint.end())
        return false;
    const bool is_suspect = this->poison.deaths(wish.fingerprint, now) > 0;
    if (is_suspect)
        return true;
    std::set<std::string> spread{endpoint.name};
    for (const permit_key& key : copies->second) {
        const permit_state& permit = this->permits.at(key);
        spread.insert(endpoint.role == endpoint_role::prefill ? permit.prefill : permit.decode);
    }
    return spread.size() > max_spread_of_prompt;
}

cell::endpoint_state* cell::pick_prefill(const permit_request& wish, time_point now)
{
    endpoint_state* best = nullptr;
    duration best_time{};
    for (auto& [name, state] : this->states) {
        if (state.config.role != endpoint_role::prefill || !this->may_run(state, wish, now))
            continue;
        const duration time = this->prefill_time(state, wish, now);
        if (best != nullptr && time >= best_time)
            continue;
        best = &state;
        best_time = time;
    }
    return best;
}

cell::endpoint_state* cell::pick_decode(const permit_request& wish, time_point now)
{
    std::vector<std::pair<endpoint_state*, duration>> candidates;
    duration best_pace = duration::max();
    for (auto& [name, state] : this->states) {
        if (state.config.role != endpoint_role::decode || !this->may_run(state, wish, now))
            continue;
        const duration pace = this->token_time(state, now);
        best_pace = std::min(best_pace, pace);
        candidates.emplace_back(&state, pace);
    }
    endpoint_state* best = nullptr;
    double best_load = 0;
    for (const auto& [state, pace] : candidates) {
        if (pace > scaled(best_pace, same_pace_factor))
            continue;
        const double load = static_cast<double>(state->used) / state->config.slots;
        if (best != nullptr && load >= best_load)
            continue;
        best = state;
        best_load = load;
    }
    return best;
}

duration cell::prefill_time(const endpoint_state& endpoint, const permit_request& wish, time_point now) const
{
    const duration reading = this->token_time(endpoint, now) * std::max(wish.prompt_tokens, 1);
    const auto home = this->prefix_homes.find(wish.prefix);
    const bool holds_prefix = home != this->prefix_homes.end() && home->second == endpoint.config.name;
    return holds_prefix ? scaled(reading, 1.0 - prefix_saving) : reading;
}

duration cell::expected_excess() const
{
    return this->mean_excess + this->excess_deviation * excess_deviations;
}

duration cell::best_prefill_time(const permit_request& wish, time_point now) const
{
    std::optional<duration> best;
    for (const auto& [name, state] : this->states) {
        if (state.config.role != endpoint_role::prefill || !this->is_usable(state))
            continue;
        const duration time = this->token_time(state, now) * std::max(wish.prompt_tokens, 1);
        best = best ? std::min(*best, time) : time;
    }
    return best.value_or(this->options.usual_prefill_token * wish.prompt_tokens);
}

duration cell::predicted_wait(const permit_request& wish, time_point now) const
{
    const int readers = this->usable_count(endpoint_role::prefill);
    if (readers == 0)
        return duration::zero();
    const queue_ahead ahead = this->queue.ahead_of(wish.client, wish.priority);
    duration running{};
    int busy = 0;
    int free_decode = 0;
    int used_decode = 0;
    for (const auto& [name, state] : this->states) {
        if (!this->is_usable(state))
            continue;
        if (state.config.role == endpoint_role::decode) {
            free_decode += std::max(this->free_slots(state), 0);
            used_decode += state.used;
            continue;
        }
        if (this->free_slots(state) <= 0)
            ++busy;
        for (const permit_key& key : state.reading) {
            const permit_state& permit = this->permits.at(key);
            running += std::max(permit.granted_at + permit.predicted_prefill - now, duration::zero());
        }
    }
    const bool reader_is_free = busy < readers && ahead.count == 0;
    const duration prefill_wait = reader_is_free ? duration::zero() : (ahead.work + running) / readers;
    const int missing_slots = static_cast<int>(ahead.count) + 1 - free_decode;
    const bool slots_suffice = missing_slots <= 0 || used_decode == 0;
    const duration slot_wait = slots_suffice ? duration::zero() : this->mean_decode_time * missing_slots / used_decode;
    return std::max(prefill_wait, slot_wait);
}

duration cell::overdue_pace(const endpoint_state& endpoint, time_point now) const
{
    duration slowest{};
    for (const permit_key& key : endpoint.reading) {
        const permit_state& permit = this->permits.at(key);
        slowest = std::max(slowest, (now - permit.granted_at) / std::max(permit.ask.prompt_tokens, 1));
    }
    return slowest;
}

duration cell::token_time(const endpoint_state& endpoint, time_point now) const
{
    return std::max(endpoint.pace.expected(now), this->overdue_pace(endpoint, now));
}

int cell::blocks_for(const permit_request& wish) const
{
    const int tokens = wish.prompt_tokens + wish.answer_tokens;
    return (tokens + this->options.block_tokens - 1) / this->options.block_tokens;
}

int cell::usable_count(endpoint_role role) const
{
    return static_cast<int>(std::count_if(this->states.begin(), this->states.end(), [&](const auto& item) {
        return item.second.config.role == role && this->is_usable(item.second);
    }));
}

void cell::take(permit_state permit)
{
    permit.blocks = this->blocks_for(permit.ask);
    const auto prefill = this->states.find(permit.prefill);
    if (prefill != this->states.end()) {
        if (!permit.prefill_done) {
            ++prefill->second.used;
            prefill->second.reading.insert(permit.ask.key);
        }
        prefill->second.uncovered.erase(job_name(permit.ask.key));
    }
    const auto decode = this->states.find(permit.decode);
    if (decode != this->states.end()) {
        ++decode->second.used;
        decode->second.blocks_used += permit.blocks;
        decode->second.uncovered.erase(job_name(permit.ask.key));
    }
    this->by_fingerprint[permit.ask.fingerprint].insert(permit.ask.key);
    this->permits.emplace(permit.ask.key, std::move(permit));
}

void cell::drop(const permit_key& key, time_point now)
{
    const auto found = this->permits.find(key);
    const permit_state& permit = found->second;
    const auto prefill = this->states.find(permit.prefill);
    if (prefill != this->states.end())
        end_reading(prefill->second, key);
    const auto decode = this->states.find(permit.decode);
    if (decode != this->states.end()) {
        --decode->second.used;
        decode->second.blocks_used -= permit.blocks;
    }
    const auto copies = this->by_fingerprint.find(permit.ask.fingerprint);
    copies->second.erase(permit.ask.key);
    if (copies->second.empty())
        this->by_fingerprint.erase(copies);
    this->released_jobs[job_name(key)] = now;
    this->permits.erase(found);
}

void cell::end_reading(endpoint_state& endpoint, const permit_key& key)
{
    if (endpoint.reading.erase(key) > 0)
        --endpoint.used;
}

void cell::refuse_expired(time_point now, cell_decisions& decisions)
{
    for (const queued_request& entry : this->queue.take_expired(now)) {
        const bool has_endpoints =
            this->usable_count(endpoint_role::prefill) > 0 && this->usable_count(endpoint_role::decode) > 0;
        const error_kind kind = has_endpoints ? error_kind::overloaded : error_kind::no_endpoint;
        this->refuse(entry.ask, kind, this->options.first_token_target, decisions);
    }
}

void cell::pump(time_point now, cell_decisions& decisions)
{
    this->refuse_expired(now, decisions);
    while (true) {
        endpoint_state* prefill = nullptr;
        endpoint_state* decode = nullptr;
        const auto fits = [&](const queued_request& entry) {
            prefill = this->pick_prefill(entry.ask, now);
            decode = prefill == nullptr ? nullptr : this->pick_decode(entry.ask, now);
            return decode != nullptr;
        };
        const std::optional<queued_request> next = this->queue.take_first(fits);
        if (!next)
            return;
        permit_state permit;
        permit.ask = next->ask;
        permit.prefill = prefill->config.name;
        permit.decode = decode->config.name;
        permit.granted_at = now;
        permit.predicted_prefill = this->prefill_time(*prefill, next->ask, now);
        if (this->prefix_homes.size() >= max_prefix_homes)
            this->prefix_homes.clear();
        this->prefix_homes[next->ask.prefix] = permit.prefill;
        decisions.emplace_back(permit_grant{permit.ask.key, permit.ask.holder, permit.prefill, permit.decode});
        this->take(std::move(permit));
    }
}

void cell::refuse(const permit_request& wish, error_kind kind, duration retry_after, cell_decisions& decisions) const
{
    const duration bounded = std::min<duration>(retry_after, max_retry_after);
    decisions.emplace_back(permit_refusal{wish.key, wish.holder, kind, bounded});
}

void cell::cancel_permit(const permit_state& permit, cell_decisions& decisions) const
{
    const std::string job = job_name(permit.ask.key);
    decisions.emplace_back(job_cancellation{permit.prefill, job});
    decisions.emplace_back(job_cancellation{permit.decode, job});
}

void cell::expire_orphans(time_point now, cell_decisions& decisions)
{
    std::vector<permit_key> expired;
    for (const auto& [key, permit] : this->permits) {
        if (permit.orphaned_at && *permit.orphaned_at + this->options.orphan_grace <= now)
            expired.push_back(key);
    }
    for (const permit_key& key : expired) {
        this->cancel_permit(this->permits.at(key), decisions);
        this->drop(key, now);
    }
}

} // namespace radishstep
