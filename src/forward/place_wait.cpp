#include "forward/place_wait.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "forward/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// Interval between selection attempts of the first request in the queue: a fraction of a call's duration.
constexpr milliseconds retry_interval{6};
/// Requests further behind retry after a multiple of the interval, up to this one.
constexpr std::size_t max_retry_intervals = 5;

void log_wait(const request_in_hand& active, time_point start, std::optional<no_place> failure,
              std::size_t others_waiting)
{
    const auto waited = runtime_clock::now() - start;
    observe_seconds("radishstep_forward_wait_seconds", to_ms(waited) / 1'000);
    // A request that did not wait is not logged here; the log entry of its call names the endpoint.
    if (!failure && waited < retry_interval)
        return;
    log_decision("waited", {{"request", active.asked.id},
                            {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(waited).count())},
                            {"result", failure ? reason_of(*failure).message : "place"},
                            {"others_waiting", std::to_string(others_waiting)}});
}

/// Returns false for a request far behind the front, and for a late one while any host has one that is not late. Small
/// late requests could otherwise use up freed capacity before there is enough of it for a larger request.
bool may_select_now(const forward_context& context, const request_in_hand& active, const waiting_line& queue,
                    const waiting_line::ticket& entry, time_point now)
{
    if (!queue.may_select(entry))
        return false;
    const auto first = queue.front();
    const bool is_on_time_here = first && first->late != lateness::late;
    return entry.late != lateness::late || (!is_on_time_here && !context.load.has_on_time_head(active.service, now));
}

} // namespace

wait_bounds bounds_of(const request_in_hand& active, milliseconds serving_time, double max_objectives)
{
    const milliseconds max_wait{static_cast<milliseconds::rep>(to_ms(active.way.objective) * max_objectives)};
    const milliseconds allowed_wait = std::max(active.way.objective - serving_time, milliseconds{0});
    return {active.arrived + allowed_wait / 2, active.arrived + allowed_wait, active.arrived + max_wait};
}

wait_bounds bounds_of_begun(wait_bounds bounds, time_point limit)
{
    bounds.give_up_at = std::max(bounds.give_up_at, limit);
    return bounds;
}

lateness wait_bounds::lateness_at(time_point now) const
{
    if (now >= this->late_at)
        return lateness::late;
    return now >= this->at_risk_at ? lateness::hurried : lateness::fresh;
}

error reason_of(no_place cause)
{
    const std::string remedy = "retry after the given time";
    if (cause == no_place::no_endpoint)
        return {error_kind::no_endpoint, "no endpoint of the service takes the request", remedy};
    return {error_kind::overloaded, "all endpoints of the service are full", remedy};
}

asio::awaitable<std::optional<no_place>> wait_for_place(forward_context& context, request_in_hand active,
                                                        const avoided_endpoints& avoided, wait_bounds bounds,
                                                        place_finder find)
{
    waiting_line& queue = context.lines[active.service];
    const time_point start = runtime_clock::now();
    waiting_line::ticket entry = queue.enqueue(active.way.priority, start);
    context.note_change(active.way.is_model);
    std::optional<no_place> failure;
    while (true) {
        const time_point now = runtime_clock::now();
        if (const lateness late = bounds.lateness_at(now); late != entry.late)
            entry = queue.update_lateness(entry, late);
        failure = no_place::full;
        if (may_select_now(context, active, queue, entry, now)) {
            place_search search{avoided, context.draw(), queue.count_ahead(entry), context.are_loads_fresh};
            search.left_to_others += context.load.heads_before({active.service, entry.late, entry.since}, now);
            failure = find(search);
        }
        if (!failure || *failure == no_place::no_endpoint || now >= bounds.give_up_at ||
            active.watch.is_caller_gone() || active.watch.left() < least_useful_time)
            break;
        const std::size_t intervals = std::min(queue.count_ahead(entry) + 1, max_retry_intervals);
        co_await active.watch.pause(retry_interval * static_cast<milliseconds::rep>(intervals));
    }
    queue.remove(entry);
    context.note_change(active.way.is_model);
    log_wait(active, start, failure, queue.size());
    co_return failure;
}

} // namespace radishstep::forward
