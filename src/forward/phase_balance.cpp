#include "forward/phase_balance.h"

#include <algorithm>
#include <cmath>

namespace radishstep::forward {

namespace {

/// What a stream holds on average: a prompt of 3,200 tokens and half of its answer, from the users' sheets.
constexpr double stream_tokens = 3'700;
/// How long a stream holds it, from the sheets' 72 events of 13 tokens at 3.7 ms a token.
constexpr double stream_seconds = 3.6;
/// How long such a prompt keeps a prefill engine: 3,200 tokens at 33 a millisecond.
constexpr double reading_seconds = 0.096;
/// Readers beyond the load, in square roots of it: with so many, few prompts of a random stream wait
/// (square-root staffing).
constexpr double spare_roots = 1.5;

bool is_among(const std::vector<std::string>& names, const std::string& name)
{
    return std::ranges::find(names, name) != names.end();
}

} // namespace

int wanted_readers(int engines, std::int64_t kv_capacity_tokens)
{
    const double streams = static_cast<double>(kv_capacity_tokens) / stream_tokens;
    const double readers_per_decoder = streams / stream_seconds * reading_seconds;
    const double busy = engines * readers_per_decoder / (1 + readers_per_decoder);
    return static_cast<int>(std::ceil(busy + spare_roots * std::sqrt(busy)));
}

std::optional<endpoint> surplus_reader(const std::vector<const endpoint*>& engines,
                                       const std::vector<std::string>& changing, std::int64_t kv_capacity_tokens)
{
    std::vector<const endpoint*> readers;
    int all = 0;
    for (const endpoint* engine : engines) {
        if (engine->phase == endpoint_phase::whole)
            continue;
        ++all;
        if (engine->phase == endpoint_phase::prefill && !is_among(changing, engine->incarnation()))
            readers.push_back(engine);
    }
    if (static_cast<int>(readers.size()) <= wanted_readers(all, kv_capacity_tokens))
        return std::nullopt;
    // The zone with most readers gives one up, so that each zone keeps some as long as possible.
    const auto readers_in = [&readers](const std::string& zone) {
        return std::ranges::count_if(readers, [&zone](const endpoint* reader) { return reader->zone == zone; });
    };
    return **std::ranges::max_element(readers, {}, [&](const endpoint* reader) { return readers_in(reader->zone); });
}

} // namespace radishstep::forward
