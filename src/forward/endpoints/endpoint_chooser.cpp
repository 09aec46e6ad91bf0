#include "forward/endpoints/endpoint_chooser.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace radishstep::forward {

namespace {

/// Engines allocate KV cache in blocks of this many tokens.
constexpr std::int64_t block_tokens = 16;

/// Score penalty of an endpoint in another zone, in units of one running call. Less than one call, so that the zone
/// only decides between nearly equal loads.
constexpr double other_zone_penalty_calls = 0.15;

/// Maximum random part of a score, so that hosts with the same view of the loads do not all select one endpoint.
constexpr double max_jitter_calls = 0.3;

/// Score penalties of an avoided endpoint, in calls and in milliseconds, large enough that it is selected only if there
/// is no other.
constexpr double avoided_penalty_calls = 1'000;
constexpr double avoided_penalty_ms = 1e6;

/// Penalty of a slow engine on which the answer may not end by its deadline; less than that of an avoided one.
constexpr double deadline_risk_penalty_ms = 1e4;

/// Penalty for a KV cache transfer between zones, which takes twice as long as within a zone and uses shared links.
constexpr double cross_zone_transfer_ms = 40;

/// Maximum random part of a model engine's score, for the same reason as `max_jitter_calls`.
constexpr double max_jitter_ms = 25;

std::int64_t round_up_to_blocks(std::int64_t tokens)
{
    return (tokens + block_tokens - 1) / block_tokens * block_tokens;
}

/// Expected delay of a new stream per stream that already runs on its engine, since each stream delays the next tokens
/// of the others.
constexpr double delay_ms_per_stream = 10;

/// Returns how many of an endpoint's free slots a selection has to compare, from its lowest score on: one more than the
/// reserved slots of all endpoints, so that the work of a selection does not grow with the slots.
std::size_t count_considered_slots(std::int64_t free_slots, std::size_t reserved_slots)
{
    return std::min(static_cast<std::size_t>(std::max<std::int64_t>(free_slots, 0)), reserved_slots + 1);
}

/// Returns a pseudo-random value in [0, 1) that differs for each endpoint index and draw.
double jitter(double draw, std::size_t index)
{
    constexpr double golden_ratio = 0.618033988749895;
    const double value = draw + golden_ratio * static_cast<double>(index + 1);
    return value - static_cast<double>(static_cast<std::int64_t>(value));
}

} // namespace

std::int64_t model_demand::prompt_kv_tokens() const
{
    return round_up_to_blocks(this->prompt_tokens);
}

endpoint_chooser::endpoint_chooser(const endpoint_directory& directory, const fleet_load& load,
                                   const endpoint_health& health, const endpoint_notices& notices,
                                   const engine_model& model, std::string zone)
    : directory(directory), load(load), health(health), notices(notices), model(model), zone(std::move(zone))
{
}

tl::expected<endpoint, selection_failure> endpoint_chooser::choose_plain_endpoint(const std::string& service,
                                                                                  const selection_context& selection,
                                                                                  time_point now) const
{
    const auto candidates = this->candidates(service, endpoint_phase::none, selection.excluded, now);
    if (candidates.empty())
        return tl::unexpected{this->no_candidate_cause(service, endpoint_phase::none, selection.excluded, now)};
    std::vector<std::pair<double, const endpoint*>> slots_by_score;
    std::size_t index = 0;
    for (const endpoint* candidate : candidates) {
        const std::string incarnation = candidate->incarnation();
        const int calls = this->load.total_at(incarnation, now).calls;
        double score = (calls + 1.0) * this->model.relative_pace(service, incarnation, work_kind::plain);
        score += candidate->zone == this->zone ? 0 : other_zone_penalty_calls;
        score += max_jitter_calls * jitter(selection.draw, index++);
        score += this->health.is_avoided(incarnation, now) ? avoided_penalty_calls : 0;
        const std::int64_t max_queued =
            selection.are_peer_loads_current ? max_queued_calls : max_queued_calls_with_stale_loads;
        // Each further slot costs one more call. One candidate's slots beyond the reserved ones cannot be chosen.
        const std::int64_t free_slots = candidate->slots + max_queued - calls;
        const std::size_t considered_slots = count_considered_slots(free_slots, selection.reserved_slots);
        for (std::size_t slot = 0; slot < considered_slots; ++slot)
            slots_by_score.emplace_back(score++, candidate);
    }
    if (slots_by_score.size() <= selection.reserved_slots)
        return tl::unexpected{selection_failure::full};
    const auto chosen = slots_by_score.begin() + static_cast<std::ptrdiff_t>(selection.reserved_slots);
    std::ranges::nth_element(slots_by_score, chosen);
    return *chosen->second;
}

tl::expected<engine_choice, selection_failure>
endpoint_chooser::choose_engines(const model_demand& demand, const selection_context& selection, time_point now) const
{
    const auto decode_engines = this->candidates(demand.service, endpoint_phase::decode, selection.excluded, now);
    const auto prefill_engines = this->candidates(demand.service, endpoint_phase::prefill, selection.excluded, now);
    if (decode_engines.empty())
        return tl::unexpected{
            this->no_candidate_cause(demand.service, endpoint_phase::decode, selection.excluded, now)};
    std::size_t index = 0;
    std::vector<std::pair<double, const endpoint*>> prefill_options;
    for (const endpoint* prefill_engine : prefill_engines) {
        double ms = to_ms(this->prefill_time(*prefill_engine, demand.prompt_tokens, now));
        ms += max_jitter_ms * jitter(selection.draw, index++);
        ms += this->health.is_avoided(prefill_engine->incarnation(), now) ? avoided_penalty_ms : 0;
        prefill_options.emplace_back(ms, prefill_engine);
    }
    std::vector<option> options;
    for (const endpoint* decode_engine : decode_engines) {
        const endpoint_load current = this->load.total_at(decode_engine->incarnation(), now);
        const std::size_t capacity = this->count_fitting_requests(*decode_engine, current, demand, now);
        if (capacity == 0)
            continue;
        const double decode_ms = this->decode_delay_ms(*decode_engine, current, demand, now) +
                                 max_jitter_ms * jitter(selection.draw, index++);
        const std::int64_t pending_prefill_tokens = current.pending_prefill_tokens + demand.prompt_tokens;
        const double own_prefill_ms =
            static_cast<double>(pending_prefill_tokens) / prefill_tokens_per_ms * decode_engine_prefill_time_factor;
        option best{decode_ms + own_prefill_ms + to_ms(decode_engine_prefill_penalty), nullptr, decode_engine};
        for (const auto& [prefill_ms, prefill_engine] : prefill_options) {
            const double ms =
                decode_ms + prefill_ms + (prefill_engine->zone == decode_engine->zone ? 0 : cross_zone_transfer_ms);
            if (ms < best.expected_ms)
                best = {ms, prefill_engine, decode_engine};
        }
        const std::size_t considered_slots =
            count_considered_slots(static_cast<std::int64_t>(capacity), selection.reserved_slots);
        for (std::size_t slot = 0; slot < considered_slots; ++slot)
            options.push_back({best.expected_ms + delay_ms_per_stream * static_cast<double>(slot), best.prefill_engine,
                               decode_engine});
    }
    return this->select_option(std::move(options), selection.reserved_slots);
}

tl::expected<engine_choice, selection_failure>
endpoint_chooser::choose_decode_engine(const model_demand& demand, const std::string& prefill_zone,
                                       const selection_context& selection, time_point now) const
{
    const auto decode_engines = this->candidates(demand.service, endpoint_phase::decode, selection.excluded, now);
    if (decode_engines.empty())
        return tl::unexpected{
            this->no_candidate_cause(demand.service, endpoint_phase::decode, selection.excluded, now)};
    std::vector<option> options;
    std::size_t index = 0;
    for (const endpoint* decode_engine : decode_engines) {
        const endpoint_load current = this->load.total_at(decode_engine->incarnation(), now);
        if (this->count_fitting_requests(*decode_engine, current, demand, now) == 0)
            continue;
        double ms = this->decode_delay_ms(*decode_engine, current, demand, now) +
                    max_jitter_ms * jitter(selection.draw, index++);
        ms += decode_engine->zone == prefill_zone ? 0 : cross_zone_transfer_ms;
        options.push_back({ms, nullptr, decode_engine});
    }
    return this->select_option(std::move(options), selection.reserved_slots);
}

tl::expected<engine_choice, selection_failure> endpoint_chooser::select_option(std::vector<option> options,
                                                                               std::size_t reserved_slots) const
{
    if (options.size() <= reserved_slots)
        return tl::unexpected{selection_failure::full};
    const auto chosen = options.begin() + static_cast<std::ptrdiff_t>(reserved_slots);
    std::ranges::nth_element(options, chosen, {}, &option::expected_ms);
    engine_choice choice;
    if (chosen->prefill_engine != nullptr)
        choice.prefill = *chosen->prefill_engine;
    choice.decode = *chosen->decode_engine;
    return choice;
}

bool endpoint_chooser::is_overbooked(const endpoint& target, const model_demand& demand, time_point now) const
{
    const endpoint_load current = this->load.total_at(target.incarnation(), now);
    const std::int64_t used_tokens = current.tokens + this->load.unreported_tokens_at(target.incarnation(), now);
    return current.calls > 1 && (current.calls > target.slots || used_tokens > demand.kv_capacity_tokens);
}

double endpoint_chooser::decode_delay_ms(const endpoint& target, const endpoint_load& current,
                                         const model_demand& demand, time_point now) const
{
    const std::string incarnation = target.incarnation();
    const double relative_pace = this->model.relative_pace(target.service, incarnation, work_kind::decode);
    const double answer_ms = static_cast<double>(demand.expected_output_tokens) *
                             this->model.usual_pace(target.service, work_kind::decode) * relative_pace;
    double ms = delay_ms_per_stream * current.calls * relative_pace + decode_time_weight * answer_ms;
    if (relative_pace > 1 && answer_ms * long_answer_factor > to_ms(demand.time_left))
        ms += deadline_risk_penalty_ms;
    return this->health.is_avoided(incarnation, now) ? ms + avoided_penalty_ms : ms;
}

milliseconds endpoint_chooser::assumed_prefill_time(const endpoint& target, std::int64_t prompt_tokens,
                                                    time_point now) const
{
    const auto pending_prefill_tokens =
        static_cast<double>(this->load.total_at(target.incarnation(), now).pending_prefill_tokens + prompt_tokens);
    return prefill_overhead + milliseconds{static_cast<std::int64_t>(pending_prefill_tokens / prefill_tokens_per_ms)};
}

milliseconds endpoint_chooser::prefill_time(const endpoint& target, std::int64_t prompt_tokens, time_point now) const
{
    const double pace = this->model.pace(target.service, target.incarnation(), work_kind::prefill, now);
    return milliseconds{
        static_cast<std::int64_t>(to_ms(this->assumed_prefill_time(target, prompt_tokens, now)) * pace)};
}

std::vector<const endpoint*> endpoint_chooser::candidates(const std::string& service, endpoint_phase phase,
                                                          const excluded_endpoints& excluded, time_point now) const
{
    std::vector<const endpoint*> selectable = this->callable(service, now);
    std::erase_if(selectable, [&](const endpoint* candidate) {
        return candidate->phase != phase || excluded.contains(candidate->incarnation());
    });
    // Avoided endpoints are excluded and not just scored down: one that is down appears idle and would attract
    // requests, which should wait for a slot on a healthy one. If more than half are avoided, all are kept: the fault
    // may be on this host.
    const auto unhealthy = std::ranges::partition(
        selectable, [&](const endpoint* candidate) { return !this->health.is_avoided(candidate->incarnation(), now); });
    if (2 * unhealthy.size() <= selectable.size())
        selectable.erase(unhealthy.begin(), unhealthy.end());
    return selectable;
}

selection_failure endpoint_chooser::no_candidate_cause(const std::string& service, endpoint_phase phase,
                                                       const excluded_endpoints& excluded, time_point now) const
{
    const auto usable = this->directory.usable(service);
    const bool is_any_paused = std::ranges::any_of(usable, [&](const endpoint* candidate) {
        return candidate->phase == phase && !excluded.contains(candidate->incarnation()) &&
               !this->notices.is_leaving(*candidate, now) && this->notices.paused_until(*candidate, now);
    });
    return is_any_paused ? selection_failure::paused : selection_failure::no_endpoint;
}

std::vector<const endpoint*> endpoint_chooser::callable(const std::string& service, time_point now) const
{
    std::vector<const endpoint*> found = this->directory.usable(service);
    if (this->notices.is_empty())
        return found;
    std::erase_if(found, [&](const endpoint* candidate) { return !this->notices.accepts_calls(*candidate, now); });
    return found;
}

std::optional<time_point> endpoint_chooser::earliest_pause_end(const std::string& service, time_point now) const
{
    if (!this->notices.has_pauses())
        return std::nullopt;
    std::optional<time_point> earliest;
    for (const auto& [entry_key, entry] : this->directory.entries()) {
        const bool can_serve = entry.service == service && !entry.is_draining && entry.phase != endpoint_phase::prefill;
        if (!can_serve || this->notices.is_leaving(entry, now))
            continue;
        const auto pause_end = this->notices.paused_until(entry, now);
        if (!pause_end)
            return std::nullopt;
        earliest = earliest ? std::min(*earliest, *pause_end) : pause_end;
    }
    return earliest;
}

std::size_t endpoint_chooser::count_fitting_requests(const endpoint& target, const endpoint_load& current,
                                                     const model_demand& demand, time_point now) const
{
    const std::int64_t free_slots = target.slots - current.calls;
    const std::int64_t prompt_kv_tokens = demand.prompt_kv_tokens();
    const std::int64_t used_tokens = current.tokens + this->load.unreported_tokens_at(target.incarnation(), now);
    const std::int64_t free_tokens = demand.kv_capacity_tokens - used_tokens - growth_reserve_tokens;
    const std::int64_t capacity = std::min(free_slots, free_tokens / std::max<std::int64_t>(prompt_kv_tokens, 1));
    // An idle engine is eligible for a prompt of any length; the engine itself rejects one that is too long.
    const std::int64_t min_capacity = current.calls == 0 ? 1 : 0;
    return static_cast<std::size_t>(std::max(capacity, min_capacity));
}

} // namespace radishstep::forward
