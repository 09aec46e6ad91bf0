#include "forward/queue/capacity_wait.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "forward/serving/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// Interval between selection attempts of the first request in the queue, short compared with the duration of a call.
constexpr milliseconds selection_interval{6};
/// Requests further behind try again after a multiple of the interval, up to this one.
constexpr std::size_t max_selection_intervals = 5;

void log_wait(const active_request& active, time_point start, std::optional<selection_failure> failure,
              std::size_t others_waiting)
{
    const auto waited = runtime_clock::now() - start;
    observe_seconds("radishstep_forward_wait_seconds", to_ms(waited) / 1'000);
    // A request that did not wait is not logged here; the log entry of its call names the endpoint.
    if (!failure && waited < selection_interval)
        return;
    log_decision("waited", {{"request", active.request.id},
                            {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(waited).count())},
                            {"result", failure ? to_error(*failure).message : "place"},
                            {"others_waiting", std::to_string(others_waiting)}});
}

/// Returns whether a request that found only endpoints that pause waits for them.
bool should_await_pause(const forward_context& context, const std::string& service, const wait_deadlines& deadlines,
                        time_point now)
{
    if (deadlines.has_stream_started)
        return true;
    const auto pause_end = context.chooser.earliest_pause_end(service, now);
    return pause_end && *pause_end <= now + max_awaited_pause;
}

} // namespace

bool may_select_now(const std::string& service, const request_queue& queue, const request_queue::queue_entry& entry,
                    const fleet_load& load, time_point now)
{
    if (!queue.may_select(entry))
        return false;
    const auto first = queue.front();
    const bool is_front_not_late = first && first->rank.late != lateness::late;
    return entry.rank.late != lateness::late ||
           (!is_front_not_late && !load.has_peer_head_not_late(service, entry.rank.priority, now));
}

wait_deadlines compute_wait_deadlines(const active_request& active, milliseconds serving_time, double max_wait_factor)
{
    const milliseconds max_wait{
        static_cast<milliseconds::rep>(to_ms(active.matched_route.latency_objective) * max_wait_factor)};
    const milliseconds allowed_wait = std::max(active.matched_route.latency_objective - serving_time, milliseconds{0});
    return {active.arrived_at + allowed_wait / 2, active.arrived_at + allowed_wait, active.arrived_at + max_wait,
            serving_time, false};
}

wait_deadlines extend_for_started_stream(wait_deadlines deadlines, time_point give_up_at)
{
    deadlines.give_up_at = std::max(deadlines.give_up_at, give_up_at);
    deadlines.serving_time = milliseconds{0};
    deadlines.has_stream_started = true;
    return deadlines;
}

lateness wait_deadlines::lateness_at(time_point now) const
{
    if (now >= this->late_at)
        return lateness::late;
    return now >= this->at_risk_at ? lateness::at_risk : lateness::on_time;
}

error to_error(selection_failure cause)
{
    const std::string remedy = "retry after the given time";
    if (cause == selection_failure::no_endpoint)
        return {error_kind::no_endpoint, "no endpoint of the service takes the request", remedy};
    if (cause == selection_failure::host_stopping)
        return {error_kind::unavailable, "this host stops before the request could be completed", "ask another host"};
    if (cause == selection_failure::not_needed)
        return {error_kind::overloaded, "the silent engine goes on", remedy};
    if (cause == selection_failure::paused)
        return {error_kind::overloaded, "the endpoints of the service asked for a pause", remedy};
    return {error_kind::overloaded, "all endpoints of the service are full", remedy};
}

asio::awaitable<std::optional<selection_failure>> wait_for_capacity(forward_context& context, active_request active,
                                                                    const excluded_endpoints& excluded,
                                                                    wait_deadlines deadlines, endpoint_selector select,
                                                                    std::function<bool()> is_needed)
{
    request_queue& queue = context.request_queues[active.service];
    const time_point start = runtime_clock::now();
    request_queue::queue_entry entry = queue.enqueue(active.request.queue_priority, start);
    context.notify_load_change(active.matched_route.is_model);
    std::optional<selection_failure> failure;
    while (true) {
        const time_point now = runtime_clock::now();
        if (const lateness late = deadlines.lateness_at(now); late != entry.rank.late)
            entry = queue.update_lateness(entry, late);
        if (context.stop_deadline && now + deadlines.serving_time >= *context.stop_deadline) {
            failure = selection_failure::host_stopping;
            break;
        }
        failure = selection_failure::full;
        if (context.chooser.earliest_pause_end(active.service, now)) {
            // Applies to the whole queue: requests that are not at its front need not wait for their turn to know.
            failure = selection_failure::paused;
        } else if (may_select_now(active.service, queue, entry, context.load, now)) {
            selection_context selection{excluded, context.draw(), queue.count_ahead(entry),
                                        context.are_peer_loads_current};
            selection.reserved_slots += context.load.count_peer_heads_ahead({active.service, entry.rank}, now);
            failure = select(selection);
        }
        if (failure && !is_needed()) {
            failure = selection_failure::not_needed;
            break;
        }
        if (failure == selection_failure::paused && !should_await_pause(context, active.service, deadlines, now))
            break;
        if (!failure || *failure == selection_failure::no_endpoint || now >= deadlines.give_up_at ||
            active.canceller.is_caller_disconnected() || active.canceller.time_left() < min_forward_time)
            break;
        const std::size_t intervals = std::min(queue.count_ahead(entry) + 1, max_selection_intervals);
        co_await active.canceller.wait_for(selection_interval * static_cast<milliseconds::rep>(intervals));
    }
    queue.remove(entry);
    context.notify_load_change(active.matched_route.is_model);
    log_wait(active, start, failure, queue.size());
    co_return failure;
}

} // namespace radishstep::forward
