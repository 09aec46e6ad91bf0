#include "forward/place_wait.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "forward/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// How often the first request in line looks again: a fraction of the time that a call takes.
constexpr milliseconds look_again_time{6};
/// Those further behind wake less often, up to so many times less.
constexpr std::size_t longest_look_pauses = 5;

void log_wait(const request_in_hand& hand, time_point start, std::optional<no_place> missing, std::size_t others)
{
    const auto waited = runtime_clock::now() - start;
    observe_seconds("radishstep_forward_wait_seconds", to_ms(waited) / 1'000);
    // A place found at once is no news; the call tells where it was.
    if (!missing && waited < look_again_time)
        return;
    log_decision("waited", {{"request", hand.asked.id},
                            {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(waited).count())},
                            {"result", missing ? reason_of(*missing).message : "place"},
                            {"others_waiting", std::to_string(others)}});
}

/// Returns false for a request that stands far behind, and for one that has missed its objective while others
/// can still meet theirs: it may be small enough for places that are too small for them, and would keep
/// such places from growing.
bool may_look(const forward_context& context, const request_in_hand& hand, const waiting_line& line,
              const waiting_line::ticket& place, time_point now)
{
    if (!line.may_search(place))
        return false;
    const auto first = line.first();
    const bool is_on_time_here = first && first->late != lateness::late;
    return place.late != lateness::late || (!is_on_time_here && !context.load.has_on_time_head(hand.service, now));
}

} // namespace

wait_bounds bounds_of(const request_in_hand& hand, milliseconds serving_time, double longest_objectives)
{
    const milliseconds longest{static_cast<milliseconds::rep>(to_ms(hand.way.objective) * longest_objectives)};
    const milliseconds may_wait = std::max(hand.way.objective - serving_time, milliseconds{0});
    return {hand.arrived + may_wait / 2, hand.arrived + may_wait, hand.arrived + longest};
}

wait_bounds bounds_of_begun(wait_bounds before, time_point limit)
{
    before.give_up = std::max(before.give_up, limit);
    return before;
}

lateness wait_bounds::at(time_point now) const
{
    if (now >= this->late_from)
        return lateness::late;
    return now >= this->hurried_from ? lateness::hurried : lateness::fresh;
}

error reason_of(no_place cause)
{
    const std::string remedy = "retry after the given time";
    if (cause == no_place::no_endpoint)
        return {error_kind::no_endpoint, "no endpoint of the service takes the request", remedy};
    return {error_kind::overloaded, "all endpoints of the service are full", remedy};
}

asio::awaitable<std::optional<no_place>> wait_for_place(forward_context& context, request_in_hand hand,
                                                        const avoided_endpoints& avoided, wait_bounds bounds,
                                                        place_finder find)
{
    waiting_line& line = context.lines[hand.service];
    const time_point start = runtime_clock::now();
    waiting_line::ticket place = line.join(hand.way.priority, start);
    context.note_change(hand.way.is_model);
    std::optional<no_place> missing;
    while (true) {
        const time_point now = runtime_clock::now();
        if (const lateness late = bounds.at(now); late != place.late)
            place = line.fall_back(place, late);
        missing = no_place::full;
        if (may_look(context, hand, line, place, now)) {
            place_search search{avoided, context.draw(), line.before(place), context.are_loads_fresh};
            search.left_to_others += context.load.heads_before({hand.service, place.late, place.since}, now);
            missing = find(search);
        }
        if (!missing || *missing == no_place::no_endpoint || now >= bounds.give_up || hand.watch.is_caller_gone() ||
            hand.watch.left() < least_useful_time)
            break;
        const std::size_t pauses = std::min(line.before(place) + 1, longest_look_pauses);
        co_await hand.watch.pause(look_again_time * static_cast<milliseconds::rep>(pauses));
    }
    line.leave(place);
    context.note_change(hand.way.is_model);
    log_wait(hand, start, missing, line.size());
    co_return missing;
}

} // namespace radishstep::forward
