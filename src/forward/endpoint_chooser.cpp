#include "forward/endpoint_chooser.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace radishstep::forward {

namespace {

/// Engines give out memory in blocks of this many tokens.
constexpr std::int64_t block_tokens = 16;

/// Weight of a call that leaves the zone, against one more call at a nearer endpoint: distance only
/// breaks near ties.
constexpr double other_zone_weight = 0.15;

/// Random part of a score, so that hosts that see the same loads do not all choose the same endpoint.
constexpr double jitter_weight = 0.3;

/// What an endpoint that is avoided costs in the score: it is used when all others are out.
constexpr double avoided_weight = 1'000;
constexpr double avoided_ms = 1e6;

/// What fetching a read prompt from another zone costs: it takes twice as long, on links that others use.
constexpr double far_transfer_ms = 40;

/// Random part of a model engine's score, for the same reason as for plain endpoints.
constexpr double jitter_ms = 25;

std::int64_t in_blocks(std::int64_t tokens)
{
    return (tokens + block_tokens - 1) / block_tokens * block_tokens;
}

/// What one more running stream costs the others of its engine, in the time to their next tokens.
constexpr double ms_per_stream = 10;

/// Returns a value in [0, 1) that differs between endpoints and draws.
double mixed(double draw, std::size_t index)
{
    constexpr double golden_ratio = 0.618033988749895;
    const double value = draw + golden_ratio * static_cast<double>(index + 1);
    return value - static_cast<double>(static_cast<std::int64_t>(value));
}

} // namespace

std::int64_t model_demand::prompt_kv_tokens() const
{
    return in_blocks(this->prompt_tokens);
}

endpoint_chooser::endpoint_chooser(const endpoint_directory& directory, const fleet_load& load,
                                   const endpoint_health& health, std::string zone)
    : directory(directory), load(load), health(health), zone(std::move(zone))
{
}

tl::expected<endpoint, selection_failure> endpoint_chooser::choose_plain_endpoint(const std::string& service, const selection_context& search,
                                                                time_point now) const
{
    const auto candidates = this->candidates(service, endpoint_phase::whole, search.avoided, now);
    if (candidates.empty())
        return tl::unexpected{selection_failure::no_endpoint};
    std::vector<std::pair<double, const endpoint*>> places;
    std::size_t index = 0;
    for (const endpoint* candidate : candidates) {
        const std::string incarnation = candidate->incarnation();
        const int calls = this->load.at(incarnation, now).calls;
        double score = (calls + 1.0) * this->health.slowdown(incarnation, now);
        score += candidate->zone == this->zone ? 0 : other_zone_weight;
        score += jitter_weight * mixed(search.draw, index++);
        score += this->health.is_avoided(incarnation, now) ? avoided_weight : 0;
        const std::int64_t ahead = search.are_peer_loads_current ? calls_ahead : calls_ahead_unknown;
        for (std::int64_t place = calls; place < candidate->slots + ahead; ++place)
            places.emplace_back(score++, candidate);
    }
    if (places.size() <= search.slots_reserved_for_peers)
        return tl::unexpected{selection_failure::full};
    const auto chosen = places.begin() + static_cast<std::ptrdiff_t>(search.slots_reserved_for_peers);
    std::ranges::nth_element(places, chosen);
    return *chosen->second;
}

tl::expected<engine_choice, selection_failure> endpoint_chooser::choose_engines(const model_demand& demand,
                                                                    const selection_context& search, time_point now) const
{
    const auto decoders = this->candidates(demand.service, endpoint_phase::decode, search.avoided, now);
    const auto readers = this->candidates(demand.service, endpoint_phase::prefill, search.avoided, now);
    if (decoders.empty())
        return tl::unexpected{selection_failure::no_endpoint};
    std::size_t index = 0;
    std::vector<std::pair<double, const endpoint*>> reading;
    for (const endpoint* reader : readers) {
        double ms = to_ms(this->prefill_time(*reader, demand.prompt_tokens, now));
        ms += jitter_ms * mixed(search.draw, index++);
        ms += this->health.is_avoided(reader->incarnation(), now) ? avoided_ms : 0;
        reading.emplace_back(ms, reader);
    }
    std::vector<option> options;
    for (const endpoint* decoder : decoders) {
        const endpoint_load there = this->load.at(decoder->incarnation(), now);
        const std::size_t room = room_at(*decoder, there, demand);
        if (room == 0)
            continue;
        const double decode_ms = this->decoding_ms(*decoder, there, now) + jitter_ms * mixed(search.draw, index++);
        const std::int64_t pending_prefill_tokens = there.pending_prefill_tokens + demand.prompt_tokens;
        const double own_reading = static_cast<double>(pending_prefill_tokens) / reading_speed * own_reading_factor;
        option best{decode_ms + own_reading + to_ms(own_reading_penalty), nullptr, decoder};
        for (const auto& [reading_ms, reader] : reading) {
            const double ms = decode_ms + reading_ms + (reader->zone == decoder->zone ? 0 : far_transfer_ms);
            if (ms < best.ms)
                best = {ms, reader, decoder};
        }
        for (std::size_t place = 0; place < room; ++place)
            options.push_back({best.ms + ms_per_stream * static_cast<double>(place), best.reader, decoder});
    }
    return this->take_option(std::move(options), search.slots_reserved_for_peers);
}

tl::expected<engine_choice, selection_failure> endpoint_chooser::choose_decode_engine(const model_demand& demand,
                                                                      const std::string& reader_zone,
                                                                      const selection_context& search, time_point now) const
{
    const auto decoders = this->candidates(demand.service, endpoint_phase::decode, search.avoided, now);
    if (decoders.empty())
        return tl::unexpected{selection_failure::no_endpoint};
    std::vector<option> options;
    std::size_t index = 0;
    for (const endpoint* decoder : decoders) {
        const endpoint_load there = this->load.at(decoder->incarnation(), now);
        if (room_at(*decoder, there, demand) == 0)
            continue;
        double ms = this->decoding_ms(*decoder, there, now) + jitter_ms * mixed(search.draw, index++);
        ms += decoder->zone == reader_zone ? 0 : far_transfer_ms;
        options.push_back({ms, nullptr, decoder});
    }
    return this->take_option(std::move(options), search.slots_reserved_for_peers);
}

tl::expected<engine_choice, selection_failure> endpoint_chooser::take_option(std::vector<option> options,
                                                                   std::size_t slots_reserved_for_peers) const
{
    if (options.size() <= slots_reserved_for_peers)
        return tl::unexpected{selection_failure::full};
    const auto chosen = options.begin() + static_cast<std::ptrdiff_t>(slots_reserved_for_peers);
    std::ranges::nth_element(options, chosen, {}, &option::ms);
    engine_choice places;
    if (chosen->reader != nullptr)
        places.prefill = *chosen->reader;
    places.decode = *chosen->decoder;
    return places;
}

bool endpoint_chooser::is_overbooked(const endpoint& at, const model_demand& demand, time_point now) const
{
    const endpoint_load there = this->load.at(at.incarnation(), now);
    return there.calls > 1 && (there.calls > at.slots || there.tokens > demand.kv_capacity_tokens);
}

double endpoint_chooser::decoding_ms(const endpoint& at, const endpoint_load& there, time_point now) const
{
    const std::string incarnation = at.incarnation();
    const double ms = ms_per_stream * there.calls * this->health.slowdown(incarnation, now);
    return this->health.is_avoided(incarnation, now) ? ms + avoided_ms : ms;
}

milliseconds endpoint_chooser::prefill_time(const endpoint& at, std::int64_t prompt_tokens, time_point now) const
{
    const std::string incarnation = at.incarnation();
    const auto pending_prefill_tokens = static_cast<double>(this->load.at(incarnation, now).pending_prefill_tokens + prompt_tokens);
    const double reading_ms = pending_prefill_tokens / reading_speed * this->health.slowdown(incarnation, now);
    return reading_start + milliseconds{static_cast<std::int64_t>(reading_ms)};
}

std::vector<const endpoint*> endpoint_chooser::candidates(const std::string& service, endpoint_phase phase,
                                                          const excluded_endpoints& avoided, time_point now) const
{
    std::vector<const endpoint*> found = this->directory.usable(service);
    std::erase_if(found, [&](const endpoint* candidate) {
        return candidate->phase != phase || avoided.contains(candidate->incarnation());
    });
    // Endpoints that are down look empty. A request waits for a place at a sound one rather than go there,
    // unless so many seem to be down that the fault may be on this side.
    const auto unsound = std::ranges::partition(
        found, [&](const endpoint* candidate) { return !this->health.is_avoided(candidate->incarnation(), now); });
    if (2 * unsound.size() <= found.size())
        found.erase(unsound.begin(), unsound.end());
    return found;
}

std::size_t endpoint_chooser::room_at(const endpoint& at, const endpoint_load& there, const model_demand& demand)
{
    const std::int64_t free_slots = at.slots - there.calls;
    const std::int64_t each = demand.prompt_kv_tokens();
    const std::int64_t free_tokens = demand.kv_capacity_tokens - there.tokens - growth_reserve;
    const std::int64_t room = std::min(free_slots, free_tokens / std::max<std::int64_t>(each, 1));
    // An idle engine takes any prompt, or says itself that it is too long.
    const std::int64_t least = there.calls == 0 ? 1 : 0;
    return static_cast<std::size_t>(std::max(room, least));
}

} // namespace radishstep::forward
