#include "forward/capacity_wait.h"

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

void log_wait(const active_request& active, time_point start, std::optional<selection_failure> missing, std::size_t others)
{
    const auto waited = runtime_clock::now() - start;
    observe_seconds("radishstep_forward_wait_seconds", to_ms(waited) / 1'000);
    // A place found at once is no news; the call tells where it was.
    if (!missing && waited < look_again_time)
        return;
    log_decision("waited", {{"request", active.request.id},
                            {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(waited).count())},
                            {"result", missing ? to_error(*missing).message : "place"},
                            {"others_waiting", std::to_string(others)}});
}

/// Returns false for a request that stands far behind, and for one that has missed its objective while others
/// can still meet theirs: it may be small enough for places that are too small for them, and would keep
/// such places from growing.
bool may_look(const forward_context& context, const active_request& active, const request_queue& line,
              const request_queue::queue_entry& place, time_point now)
{
    if (!line.may_search(place))
        return false;
    const auto first = line.first();
    const bool is_on_time_here = first && first->late != lateness::late;
    return place.late != lateness::late || (!is_on_time_here && !context.load.has_peer_head_on_time(active.service, now));
}

} // namespace

wait_deadlines compute_wait_deadlines(const active_request& active, milliseconds serving_time, double longest_objectives)
{
    const milliseconds longest{static_cast<milliseconds::rep>(to_ms(active.matched_route.latency_objective) * longest_objectives)};
    const milliseconds may_wait = std::max(active.matched_route.latency_objective - serving_time, milliseconds{0});
    return {active.arrived_at + may_wait / 2, active.arrived_at + may_wait, active.arrived_at + longest};
}

wait_deadlines extend_for_started_stream(wait_deadlines before, time_point limit)
{
    before.give_up = std::max(before.give_up, limit);
    return before;
}

lateness wait_deadlines::at(time_point now) const
{
    if (now >= this->late_from)
        return lateness::late;
    return now >= this->hurried_from ? lateness::at_risk : lateness::on_time;
}

error to_error(selection_failure cause)
{
    const std::string remedy = "retry after the given time";
    if (cause == selection_failure::no_endpoint)
        return {error_kind::no_endpoint, "no endpoint of the service takes the request", remedy};
    return {error_kind::overloaded, "all endpoints of the service are full", remedy};
}

asio::awaitable<std::optional<selection_failure>> wait_for_capacity(forward_context& context, active_request active,
                                                        const excluded_endpoints& avoided, wait_deadlines bounds,
                                                        endpoint_selector find)
{
    request_queue& line = context.request_queues[active.service];
    const time_point start = runtime_clock::now();
    request_queue::queue_entry place = line.join(active.matched_route.priority, start);
    context.notify_load_change(active.matched_route.is_model);
    std::optional<selection_failure> missing;
    while (true) {
        const time_point now = runtime_clock::now();
        if (const lateness late = bounds.at(now); late != place.late)
            place = line.fall_back(place, late);
        missing = selection_failure::full;
        if (may_look(context, active, line, place, now)) {
            selection_context search{avoided, context.draw(), line.before(place), context.are_peer_loads_current};
            search.slots_reserved_for_peers += context.load.count_peer_heads_ahead({active.service, place.late, place.since}, now);
            missing = find(search);
        }
        if (!missing || *missing == selection_failure::no_endpoint || now >= bounds.give_up || active.canceller.is_caller_disconnected() ||
            active.canceller.time_left() < min_forward_time)
            break;
        const std::size_t pauses = std::min(line.before(place) + 1, longest_look_pauses);
        co_await active.canceller.wait_for(look_again_time * static_cast<milliseconds::rep>(pauses));
    }
    line.leave(place);
    context.notify_load_change(active.matched_route.is_model);
    log_wait(active, start, missing, line.size());
    co_return missing;
}

} // namespace radishstep::forward
