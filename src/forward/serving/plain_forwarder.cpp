#include "forward/serving/plain_forwarder.h"

#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "forward/queue/capacity_wait.h"
#include "forward/serving/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

plain_forwarder::plain_forwarder(forward_context& context, active_request active)
    : context(context), active(active), trial(context, active.request.traits)
{
}

asio::awaitable<request_outcome> plain_forwarder::run()
{
    while (true) {
        this->stop_reason = this->reason_to_stop();
        if (this->stop_reason)
            break;
        const auto no_endpoint_cause = co_await this->wait_for_endpoint();
        if (no_endpoint_cause) {
            this->stop_reason = to_error(*no_endpoint_cause);
            break;
        }
        if (this->is_quarantined())
            continue;
        const bool is_admitted = co_await this->trial.admit(this->active.canceller);
        if (!is_admitted)
            continue;
        if (this->delivered_calls > 0 && !this->context.budget.try_spend(this->active.service, runtime_clock::now())) {
            this->stop_reason =
                error{error_kind::overloaded, "the retry budget is spent", "retry after the given time"};
            break;
        }
        const next_step next = co_await this->send_to(this->chosen_endpoint);
        if (next == next_step::done)
            break;
    }
    co_await this->finish();
    co_return this->outcome;
}

asio::awaitable<std::optional<selection_failure>> plain_forwarder::wait_for_endpoint()
{
    endpoint_selector select_endpoint = [this](const selection_context& selection) -> std::optional<selection_failure> {
        auto found = this->context.chooser.choose_plain_endpoint(this->active.service, selection, runtime_clock::now());
        if (!found)
            return found.error();
        this->chosen_endpoint = std::move(*found);
        return std::nullopt;
    };
    const wait_deadlines deadlines = compute_wait_deadlines(this->active, typical_call_time, max_wait_factor);
    co_return co_await wait_for_capacity(this->context, this->active, this->tried_endpoints, deadlines,
                                         std::move(select_endpoint));
}

asio::awaitable<plain_forwarder::next_step> plain_forwarder::send_to(endpoint target)
{
    endpoint_load work;
    work.calls = 1;
    const std::string incarnation = target.incarnation();
    const load_guard guard{this->context, incarnation, work};
    http::call_options options;
    options.connect_timeout = std::min(connect_timeout, this->active.canceller.time_left());
    options.idle_timeout = this->active.canceller.time_left();
    // The endpoint may close a reused connection while the request is sent, or repeat an earlier answer on it, which
    // leaves the request's outcome unknown. A retry must not fail in the same way.
    options.fresh_connection = !this->active.matched_route.is_repeatable || this->run_count > 0;
    options.abort = this->active.canceller.begin_call();
    options.is_matching_response = [this](const http::response& head) {
        return this->context.dialect.classify_answer(this->active.request, head) != answer_kind::wrong_request;
    };
    options.on_head = [this, &target](const http::response& head) {
        this->context.record_notice(target, call_kind::plain, this->active.request.id, head);
    };
    this->tried_endpoints.insert(incarnation);
    ++this->outcome.send_count;
    this->outcome.endpoint = target.id;
    this->context.report_suspect_send(this->active.request.id, target, this->active.request.traits);
    const time_point sent_at = runtime_clock::now();
    open_call connection{this->context.breaks, incarnation, sent_at};
    connection.on_process_end = [this, &target, sent_at](time_point ended_at) {
        this->context.record_silent_request(target, this->active.request.traits, sent_at, std::nullopt, ended_at);
        this->trial.end(true);
    };
    // A call that waits for a slot says nothing about the endpoint.
    const bool has_slot = this->context.load.total_at(incarnation, sent_at).calls <= target.slots;
    http::request call =
        this->context.dialect.make_plain_call(this->active.request, target, this->active.canceller.time_left());
    auto answer = co_await this->context.http_client.call(target.address, std::move(call), std::move(options));
    if (answer)
        this->log_call(target, sent_at, std::to_string(answer->status), is_failure_status(answer->status));
    else
        this->log_call(target, sent_at, describe(answer.error()), true);
    if (!answer) {
        if (this->is_lost(answer.error()))
            connection.break_off(runtime_clock::now());
        co_return this->handle_failure(target, sent_at, answer.error());
    }
    const bool is_success =
        !is_failure_status(answer->status) &&
        this->context.dialect.classify_answer(this->active.request, *answer) == answer_kind::executed;
    if (has_slot && is_success)
        this->record_pace(incarnation, sent_at);
    co_return this->handle_answer(target, std::move(*answer));
}

void plain_forwarder::record_pace(const std::string& incarnation, time_point sent_at)
{
    const time_point now = runtime_clock::now();
    count("radishstep_forward_pace_samples_total", {{"source", "own"}});
    this->context.model.record_call(this->active.matched_route.name, incarnation, to_ms(now - sent_at), now);
}

void plain_forwarder::log_call(const endpoint& target, time_point sent_at, const std::string& call_result,
                               bool is_failure) const
{
    if (!is_failure && !is_sampled(this->active.request.id))
        return;
    const auto duration = std::chrono::duration_cast<milliseconds>(runtime_clock::now() - sent_at);
    log_decision("call_ended", {{"request", this->active.request.id},
                                {"endpoint", target.id},
                                {"ms", std::to_string(duration.count())},
                                {"ended", call_result}});
}

plain_forwarder::next_step plain_forwarder::handle_failure(const endpoint& target, time_point sent_at,
                                                           const error& reason)
{
    const bool may_have_run = may_have_arrived(reason.kind);
    if (!may_have_run && this->delivered_calls > 0)
        this->context.budget.refund(this->active.service);
    if (may_have_run) {
        ++this->delivered_calls;
        ++this->run_count;
    }
    if (this->active.canceller.is_caller_disconnected())
        return next_step::done;
    if (this->is_lost(reason)) {
        log_decision("request_lost", {{"request", this->active.request.id},
                                      {"endpoint", target.id},
                                      {"traits", join_first(this->active.request.traits)}});
        this->context.record_lost_request(target, this->active.request.traits, sent_at);
        this->trial.end(true);
    }
    this->context.record_call_failure(target.incarnation(), reason.kind);
    return next_step::retry;
}

plain_forwarder::next_step plain_forwarder::handle_answer(const endpoint& target, http::response answer)
{
    const time_point now = runtime_clock::now();
    const std::string incarnation = target.incarnation();
    ++this->delivered_calls;
    switch (this->context.dialect.classify_answer(this->active.request, answer)) {
    case answer_kind::not_executed:
        this->context.health.record_outcome(incarnation, call_outcome::rejected, now);
        return next_step::retry;
    case answer_kind::wrong_endpoint:
        this->context.mark_down(incarnation);
        return next_step::retry;
    case answer_kind::wrong_request:
    case answer_kind::unverified:
        ++this->run_count;
        this->context.health.record_outcome(incarnation, call_outcome::failed, now);
        return next_step::retry;
    case answer_kind::executed:
        break;
    }
    ++this->run_count;
    this->context.suspects.record_answer_start(incarnation, this->active.request.traits, now);
    const bool is_success = !is_failure_status(answer.status);
    this->context.health.record_outcome(incarnation, is_success ? call_outcome::answered : call_outcome::failed, now);
    // The caller would take it as a promise that the request has not run, and may repeat it.
    if (is_refusal_status(answer.status)) {
        this->context.report_untrue_refusal(this->active.request.id, target, answer.status);
        return next_step::retry;
    }
    this->last_answer = std::move(answer);
    return is_success || !this->active.matched_route.is_repeatable ? next_step::done : next_step::retry;
}

/// Returns whether the endpoint broke the connection of a call, rather than this host, for its caller or at the
/// deadline.
bool plain_forwarder::is_lost(const error& failure) const
{
    return failure.kind == error_kind::connection_lost && !this->active.canceller.has_expired() &&
           !this->active.canceller.is_caller_disconnected();
}

/// Returns whether endpoints have crashed on the request. Losses that are not confirmed count for a trial only: plain
/// endpoints that run on may reset calls, too.
bool plain_forwarder::is_quarantined() const
{
    return this->trial.is_refused() ||
           this->context.is_quarantined(this->active.request.traits, this->trial.is_trial());
}

std::optional<error> plain_forwarder::reason_to_stop()
{
    if (this->active.canceller.is_caller_disconnected())
        return error{error_kind::caller_gone, "the caller disconnected", ""};
    if (this->is_quarantined())
        return quarantine_error();
    if (this->run_count > 0 && !this->active.matched_route.is_repeatable)
        return error{error_kind::outcome_unknown,
                     "the endpoint may have run the request and its answer cannot be passed on", ""};
    if (this->run_count >= this->active.matched_route.max_endpoints)
        return error{error_kind::endpoint_failed, "no endpoint answered successfully", ""};
    if (this->active.canceller.time_left() < min_forward_time)
        return error{this->run_count > 0 ? error_kind::deadline_exceeded : error_kind::overloaded,
                     "too little time is left before the request's deadline", "allow more time"};
    if (this->outcome.send_count >= max_sends)
        return error{this->run_count > 0 ? error_kind::endpoint_failed : error_kind::overloaded,
                     "several endpoints could not take the request", "retry after the given time"};
    return std::nullopt;
}

asio::awaitable<void> plain_forwarder::finish()
{
    if (this->active.canceller.is_caller_disconnected()) {
        this->outcome.cause = "caller_gone";
        co_return;
    }
    this->outcome.time_to_first_byte =
        std::chrono::duration_cast<milliseconds>(runtime_clock::now() - this->active.arrived_at);
    if (this->last_answer) {
        http::response answer = std::move(*this->last_answer);
        http::response response = this->context.dialect.make_caller_head(answer);
        response.body = std::move(answer.body);
        this->outcome.status = response.status;
        co_await this->active.caller.send(std::move(response));
        co_return;
    }
    const error reason = error_for_caller(*this->stop_reason, this->run_count > 0);
    const auto retry_after = this->context.caller_retry_delay(this->active.service, reason.kind, this->run_count > 0,
                                                              this->active.canceller.time_left());
    http::response response = this->context.dialect.make_refusal(this->active.request.id, reason, retry_after);
    this->outcome.status = response.status;
    this->outcome.cause = reason.message;
    co_await this->active.caller.send(std::move(response));
}

} // namespace radishstep::forward
