#include "forward/fleet/phase_balance.h"

#include <algorithm>
#include <cmath>

namespace radishstep::forward {

namespace {

/// Mean KV cache use of a stream: a prompt of 3,200 tokens and half of its answer of 72 events of 13 tokens.
constexpr double mean_stream_tokens = 3'700;
/// Mean duration of a stream: 72 events of 13 tokens at 3.7 ms per token.
constexpr double mean_stream_seconds = 3.6;
/// Prefill time of such a prompt: 3,200 tokens at 33 tokens per millisecond.
constexpr double prefill_seconds = 0.096;
/// Spare prefill engines, as a multiple of the square root of the busy ones (square-root staffing): with this
/// margin few randomly arriving prompts wait.
constexpr double square_root_staffing_factor = 1.5;

bool contains(const std::vector<std::string>& incarnations, const std::string& incarnation)
{
    return std::ranges::find(incarnations, incarnation) != incarnations.end();
}

} // namespace

int target_prefill_engines(int engines, std::int64_t kv_capacity_tokens)
{
    const double streams = static_cast<double>(kv_capacity_tokens) / mean_stream_tokens;
    const double prefill_per_decode_engine = streams / mean_stream_seconds * prefill_seconds;
    // Prefill and decode engines are busy in the ratio prefill_per_decode_engine : 1.
    const double busy_prefill_engines = engines * prefill_per_decode_engine / (1 + prefill_per_decode_engine);
    return static_cast<int>(
        std::ceil(busy_prefill_engines + square_root_staffing_factor * std::sqrt(busy_prefill_engines)));
}

std::optional<endpoint> find_surplus_prefill_engine(const std::vector<const endpoint*>& engines,
                                                    const std::vector<std::string>& changing_incarnations,
                                                    std::int64_t kv_capacity_tokens)
{
    std::vector<const endpoint*> prefill_engines;
    int engine_count = 0;
    for (const endpoint* engine : engines) {
        if (engine->phase == endpoint_phase::none)
            continue;
        ++engine_count;
        if (engine->phase == endpoint_phase::prefill && !contains(changing_incarnations, engine->incarnation()))
            prefill_engines.push_back(engine);
    }
    if (static_cast<int>(prefill_engines.size()) <= target_prefill_engines(engine_count, kv_capacity_tokens))
        return std::nullopt;
    // Taken from the zone with the most prefill engines, so that every zone keeps some as long as possible.
    const auto count_in_zone = [&prefill_engines](const std::string& zone) {
        return std::ranges::count_if(prefill_engines,
                                     [&zone](const endpoint* prefill_engine) { return prefill_engine->zone == zone; });
    };
    return **std::ranges::max_element(
        prefill_engines, {}, [&](const endpoint* prefill_engine) { return count_in_zone(prefill_engine->zone); });
}

} // namespace radishstep::forward
