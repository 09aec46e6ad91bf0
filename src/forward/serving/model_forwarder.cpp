#include "forward/serving/model_forwarder.h"

#include <algorithm>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "forward/queue/capacity_wait.h"
#include "forward/serving/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// A prefill call times out after prefill_timeout_factor times its expected duration plus prefill_timeout_margin. The
/// expected duration is endpoint_chooser::prefill_time(), which includes the prompts pending at the engine.
constexpr milliseconds prefill_timeout_margin{500};
constexpr double prefill_timeout_factor = 2.5;

/// A prefill result is not used in the last part of its lifetime, since the decode engine could fetch it too late.
constexpr milliseconds prefill_fetch_margin{60};

/// Time without an event after which a stream that may resume is offered to another engine; callers abandon a stream
/// after longer gaps.
constexpr milliseconds engine_silence_limit{1'200};

/// How long a silent engine may still work on a request after another engine was called for it: an engine that cannot
/// take the request says so within a few round trips, and two engines should not work on it for longer.
constexpr milliseconds handover_time{250};
/// How often it is checked meanwhile whether the silent engine goes on.
constexpr milliseconds handover_poll_interval{20};

/// How often a started stream without an engine looks for one when there is none or the retry budget is spent: short
/// beside the seconds after which callers abandon a stream.
constexpr milliseconds started_stream_retry_interval{100};
/// A started stream that has used up the sends of a request pauses before each further one, at first for
/// started_stream_retry_interval and then for twice the time up to this one: calls that engines reject spend the
/// retries of other requests.
constexpr milliseconds max_send_pause{800};

/// Longest body of an engine's response that is forwarded and is no event stream.
constexpr std::size_t max_plain_body_bytes = 64UL * 1024;

/// Most calls per request: one set of sends for the prefill calls and one for the decode calls.
constexpr int max_model_sends = 2 * max_sends;

/// Returns the time until `deadline`, at least 1 ms.
milliseconds time_until(time_point deadline)
{
    return std::max(std::chrono::duration_cast<milliseconds>(deadline - runtime_clock::now()), milliseconds{1});
}

bool is_event_stream(const http::response& head)
{
    constexpr unsigned status_ok = 200;
    const std::string_view type = http::find_header(head.lines, "Content-Type");
    return head.status == status_ok && (type.empty() || boost::algorithm::istarts_with(type, "text/event-stream"));
}

/// Fewest events from which the pace of a stream is taken; the first ones wait for the prompt of other requests.
constexpr int min_paced_events = 12;

/// Returns whether the response ends with its connection.
bool is_unframed(const http::response& head)
{
    return http::find_header(head.lines, "Content-Length").empty() &&
           http::find_header(head.lines, "Transfer-Encoding").empty();
}

std::string ms_since(time_point start)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(runtime_clock::now() - start).count());
}

asio::awaitable<void> send_release_call(forward_context& context, endpoint target, prefill_result result)
{
    http::call_options options;
    options.connect_timeout = connect_timeout;
    options.idle_timeout = connect_timeout;
    options.on_head = [&context, &target](const http::response& head) {
        context.record_notice(target, call_kind::release, "", head);
    };
    http::request call = context.dialect.make_release_call(result);
    const auto answer = co_await context.http_client.call(result.address, std::move(call), std::move(options));
    if (answer)
        co_return;
    count("radishstep_forward_release_failed_total");
    log_decision("release_failed", {{"endpoint", target.id}, {"cause", describe(answer.error())}});
}

} // namespace

model_forwarder::model_forwarder(forward_context& context, active_request active)
    : context(context), active(active), trial(context, active.request.traits), relay(active.request.last_event_id)
{
}

asio::awaitable<request_outcome> model_forwarder::run()
{
    std::optional<error> reason;
    while (true) {
        reason = this->reason_to_stop();
        if (reason && !this->may_await_silent_engine())
            break;
        next_step next = next_step::retry;
        if (reason || this->must_return_to_silent_engine()) {
            next = co_await this->resume_silent_call();
        } else {
            if (this->has_used_up_sends())
                co_await this->pause_before_send();
            auto reserved = co_await this->wait_for_reservation();
            if (reserved) {
                next = co_await this->serve_with(*reserved);
            } else if (this->may_await_silent_engine()) {
                next = co_await this->resume_silent_call();
            } else if (reserved.error().kind == error_kind::no_endpoint && this->may_continue_started_stream()) {
                this->forget_rejections();
                co_await this->active.canceller.wait_for(started_stream_retry_interval);
            } else {
                reason = reserved.error();
                break;
            }
        }
        if (next == next_step::done) {
            reason = this->budget_error;
            break;
        }
    }
    this->silent_call.reset();
    this->release_prefill();
    if (reason)
        co_await this->finish(*reason);
    this->outcome.send_count = this->prefill_sends + this->decode_sends;
    co_return this->outcome;
}

model_demand model_forwarder::demand() const
{
    const service* service_config = this->active.config.find_service(this->active.service);
    model_demand needed;
    needed.service = this->active.service;
    needed.prompt_tokens = this->active.request.prompt_tokens;
    needed.expected_output_tokens = this->active.request.expected_output_tokens;
    needed.time_left = this->active.canceller.time_left();
    needed.kv_capacity_tokens = service_config == nullptr ? 0 : service_config->kv_capacity_tokens;
    return needed;
}

model_forwarder::reservation model_forwarder::reserve(engine_choice engines)
{
    const model_demand needed = this->demand();
    endpoint_load decode_work;
    decode_work.calls = 1;
    decode_work.tokens = needed.prompt_kv_tokens();
    decode_work.pending_prefill_tokens = engines.prefill || this->prefilled ? 0 : needed.prompt_tokens;
    reservation reserved;
    reserved.decode_load = std::make_unique<load_guard>(this->context, engines.decode.incarnation(), decode_work);
    if (engines.prefill) {
        endpoint_load prefill_work;
        prefill_work.calls = 1;
        prefill_work.tokens = needed.prompt_tokens;
        prefill_work.pending_prefill_tokens = needed.prompt_tokens;
        reserved.prefill_load =
            std::make_unique<load_guard>(this->context, engines.prefill->incarnation(), prefill_work);
    }
    reserved.engines = std::move(engines);
    return reserved;
}

asio::awaitable<tl::expected<model_forwarder::reservation, error>> model_forwarder::wait_for_reservation()
{
    engine_choice engines;
    endpoint_selector select_engines =
        [this, &engines](const selection_context& selection) -> std::optional<selection_failure> {
        auto found = this->find_engines(selection);
        if (!found)
            return found.error();
        engines = std::move(*found);
        return std::nullopt;
    };
    wait_deadlines deadlines = compute_wait_deadlines(this->active, typical_first_event_time, max_wait_factor);
    deadlines.serving_time =
        this->context.stream_times[this->active.service].expected(this->active.request.expected_output_tokens);
    deadlines.give_up_at = std::min(deadlines.give_up_at, this->active.canceller.deadline() - this->required_time());
    if (this->has_started_response)
        deadlines = extend_for_started_stream(deadlines, runtime_clock::now() + this->active.canceller.time_left());
    const auto no_engine_cause =
        co_await wait_for_capacity(this->context, this->active, this->excluded_engines, deadlines,
                                   std::move(select_engines), [this] { return !this->has_silent_engine_resumed(); });
    if (this->active.canceller.is_caller_disconnected())
        co_return fail(error_kind::caller_gone, "the caller disconnected", "");
    if (no_engine_cause)
        co_return tl::unexpected{to_error(*no_engine_cause)};
    co_return this->reserve(std::move(engines));
}

tl::expected<engine_choice, selection_failure> model_forwarder::find_engines(const selection_context& selection)
{
    const time_point now = runtime_clock::now();
    if (this->has_prefilled_prompt())
        return this->context.chooser.choose_decode_engine(this->demand(), this->prefilled->zone, selection, now);
    this->prefilled.reset();
    return this->context.chooser.choose_engines(this->demand(), selection, now);
}

/// Checks the reserved decode engine again after the prefill. Meanwhile the engine may have started to drain, or
/// several hosts may have reserved the same capacity before they got each other's load reports; the engine would reject
/// the last of them. Moves the reservation if the engine is overbooked and another has capacity; keeps it if no other
/// has. Returns false if the engine no longer accepts work or pauses, so that the request has to wait for a new
/// reservation.
bool model_forwarder::confirm_decode_engine(reservation& reserved)
{
    const time_point now = runtime_clock::now();
    const endpoint decode_engine = reserved.engines.decode;
    if (!this->context.directory.accepts_work(decode_engine) ||
        !this->context.notices.accepts_calls(decode_engine, now))
        return false;
    if (!this->has_prefilled_prompt() || !this->context.chooser.is_overbooked(decode_engine, this->demand(), now))
        return true;
    excluded_endpoints excluded = this->excluded_engines;
    excluded.insert(decode_engine.incarnation());
    const selection_context selection{excluded, this->context.draw(), 0, this->context.are_peer_loads_current};
    auto found = this->context.chooser.choose_decode_engine(this->demand(), this->prefilled->zone, selection, now);
    log_decision("overbooked", {{"request", this->active.request.id},
                                {"endpoint", decode_engine.id},
                                {"instead", found ? found->decode.id : "no other engine has capacity"}});
    if (found)
        reserved = this->reserve(std::move(*found));
    return true;
}

std::int64_t model_forwarder::tokens_per_event() const
{
    const service* service_config = this->active.config.find_service(this->active.service);
    return service_config == nullptr ? 1 : service_config->tokens_per_event;
}

/// Returns how much time must be left for the next call to an engine. A started stream goes on while any is left.
milliseconds model_forwarder::required_time() const
{
    if (this->has_started_response)
        return min_forward_time;
    const stream_time_estimate& estimate = this->context.stream_times[this->active.service];
    return std::max(estimate.required(this->active.request.expected_output_tokens), min_forward_time);
}

asio::awaitable<model_forwarder::next_step> model_forwarder::serve_with(reservation& reserved)
{
    if (this->is_quarantined())
        co_return next_step::retry;
    if (!this->is_shown_sound) {
        const bool is_admitted = co_await this->trial.admit(this->active.canceller);
        if (!is_admitted)
            co_return next_step::retry;
    }
    if (reserved.engines.prefill) {
        const endpoint prefill_engine = *reserved.engines.prefill;
        if (!this->try_spend_retry_budget(this->delivered_prefill_calls))
            co_return co_await this->stop_without_budget(reserved);
        const bool is_prefilled = co_await this->run_prefill(prefill_engine);
        reserved.prefill_load->end();
        if (!is_prefilled) {
            this->excluded_engines.insert(prefill_engine.incarnation());
            co_return next_step::retry;
        }
    }
    if (this->active.canceller.is_caller_disconnected() || this->must_return_to_silent_engine() ||
        this->is_quarantined())
        co_return next_step::retry;
    if (!this->confirm_decode_engine(reserved))
        co_return next_step::retry;
    if (!this->try_spend_retry_budget(this->delivered_decode_calls))
        co_return co_await this->stop_without_budget(reserved);
    co_return co_await this->run_decode(reserved);
}

void model_forwarder::record_delivery_or_refund(int& delivered_calls, bool is_delivered)
{
    if (is_delivered)
        ++delivered_calls;
    else if (delivered_calls > 0)
        this->context.budget.refund(this->active.service);
}

/// Records events of a call in the suspects.
void model_forwarder::record_events(engine_call& call)
{
    const time_point now = runtime_clock::now();
    if (!call.first_event_at) {
        call.first_event_at = now;
        this->context.suspects.record_endpoint_alive(call.target.incarnation(), now);
    }
    if (now >= *call.first_event_at + crash_suspects::crash_onset_time)
        this->record_sound_answer(call);
}

void model_forwarder::record_sound_answer(engine_call& call)
{
    if (std::exchange(call.is_shown_sound, true))
        return;
    this->is_shown_sound = true;
    this->context.suspects.record_answer_start(call.target.incarnation(), this->active.request.traits,
                                               runtime_clock::now(), call.first_event_at);
    this->trial.end(false);
}

void model_forwarder::record_event_time()
{
    const time_point now = runtime_clock::now();
    if (this->last_event_at) {
        const auto gap = std::chrono::duration_cast<milliseconds>(now - *this->last_event_at);
        this->outcome.longest_event_gap = std::max(this->outcome.longest_event_gap, gap);
    } else {
        this->outcome.time_to_first_byte = std::chrono::duration_cast<milliseconds>(now - this->active.arrived_at);
    }
    this->last_event_at = now;
}

http::request model_forwarder::make_decode_call(const endpoint& target) const
{
    std::optional<prefill_result> prefill;
    if (this->prefilled)
        prefill = this->prefilled->result;
    return this->context.dialect.make_decode_call(this->active.request, target, this->active.canceller.time_left(),
                                                  prefill, this->relay.last_event_id());
}

void model_forwarder::log_call(std::string_view event, work_kind kind, const endpoint& target, time_point sent_at,
                               const http::response& answer) const
{
    constexpr unsigned status_ok = 200;
    if (answer.status == status_ok && !is_sampled(this->active.request.id))
        return;
    const endpoint_load known_load = this->context.load.total_at(target.incarnation(), runtime_clock::now());
    log_decision(event, {{"request", this->active.request.id},
                         {"endpoint", target.id},
                         {"ms", ms_since(sent_at)},
                         {"status", std::to_string(answer.status)},
                         {"believed_calls", std::to_string(known_load.calls)},
                         {"believed_pace", this->context.model.describe(target.service, target.incarnation(), kind)},
                         {"believed_tokens", std::to_string(known_load.tokens)}});
}

void model_forwarder::log_call(std::string_view event, const endpoint& target, time_point sent_at,
                               const error& reason) const
{
    log_decision(event, {{"request", this->active.request.id},
                         {"endpoint", target.id},
                         {"ms", ms_since(sent_at)},
                         {"cause", describe(reason)}});
}

bool model_forwarder::has_prefilled_prompt() const
{
    return this->prefilled && runtime_clock::now() < this->prefilled->expires_at;
}

bool model_forwarder::try_spend_retry_budget(int delivered_calls)
{
    if (delivered_calls == 0 || this->context.budget.try_spend(this->active.service, runtime_clock::now()))
        return true;
    this->budget_error = error{error_kind::overloaded, "the retry budget is spent", "retry after the given time"};
    return false;
}

asio::awaitable<bool> model_forwarder::run_prefill(const endpoint& target)
{
    const time_point sent_at = runtime_clock::now();
    // The reservation has already added this prompt to the engine's pending tokens.
    const milliseconds expected = this->context.chooser.prefill_time(target, 0, sent_at);
    const milliseconds assumed = this->context.chooser.assumed_prefill_time(target, 0, sent_at);
    const auto timeout =
        prefill_timeout_margin + milliseconds{static_cast<std::int64_t>(to_ms(expected) * prefill_timeout_factor)};
    http::call_options options;
    options.connect_timeout = std::min(connect_timeout, this->active.canceller.time_left());
    options.idle_timeout = std::min(timeout, this->active.canceller.time_left());
    // A repeated answer to an earlier prefill call of this request would have its id.
    options.fresh_connection = !this->called_prefill_engines.insert(target.incarnation()).second;
    options.abort = this->active.canceller.begin_call();
    options.is_matching_response = [this](const http::response& head) {
        return this->context.dialect.classify_answer(this->active.request, head) != answer_kind::wrong_request;
    };
    options.on_head = [this, &target](const http::response& head) {
        this->context.record_notice(target, call_kind::prefill, this->active.request.id, head);
    };
    ++this->prefill_sends;
    http::request call =
        this->context.dialect.make_prefill_call(this->active.request, target, this->active.canceller.time_left());
    auto answer = co_await this->context.http_client.call(target.address, std::move(call), std::move(options));
    const time_point now = runtime_clock::now();
    if (answer)
        this->log_call("prefill_ended", work_kind::prefill, target, sent_at, *answer);
    else
        this->log_call("prefill_failed", target, sent_at, answer.error());
    this->record_delivery_or_refund(this->delivered_prefill_calls,
                                    answer.has_value() || may_have_arrived(answer.error().kind));
    if (this->active.canceller.is_caller_disconnected())
        co_return false;
    if (!answer) {
        this->context.record_call_failure(target.incarnation(), answer.error().kind);
        co_return false;
    }
    auto result = this->context.dialect.parse_prefill_answer(target, *answer);
    if (!result) {
        const answer_kind kind = this->context.dialect.classify_answer(this->active.request, *answer);
        const bool is_full = kind == answer_kind::not_executed;
        if (kind == answer_kind::wrong_endpoint)
            this->context.mark_down(target.incarnation());
        else
            this->context.health.record_outcome(target.incarnation(),
                                                is_full ? call_outcome::rejected : call_outcome::failed, now);
        co_return false;
    }
    this->context.health.record_outcome(target.incarnation(), call_outcome::answered, now);
    this->record_pace(target, work_kind::prefill, to_ms(now - sent_at) / to_ms(assumed));
    const service* service_config = this->active.config.find_service(this->active.service);
    const milliseconds lifetime = service_config == nullptr ? milliseconds{0} : service_config->prefill_lifetime;
    this->prefilled = prefilled_prompt{std::move(*result), target.zone, now + lifetime - prefill_fetch_margin, target};
    co_return true;
}

asio::awaitable<model_forwarder::next_step> model_forwarder::run_decode(reservation& reserved)
{
    auto call = std::make_unique<engine_call>();
    call->target = reserved.engines.decode;
    call->load = std::move(reserved.decode_load);
    call->abort = this->active.canceller.begin_call();
    call->sent_at = runtime_clock::now();
    call->connection = std::make_unique<open_call>(this->context.breaks, call->target.incarnation(), call->sent_at);
    call->connection->on_process_end = [this, sent = call.get()](time_point ended_at) {
        if (sent->is_shown_sound)
            return;
        this->context.record_silent_request(sent->target, this->active.request.traits, sent->sent_at,
                                            sent->first_event_at, ended_at);
        this->trial.end(true);
    };
    http::call_options options;
    options.connect_timeout = std::min(connect_timeout, this->active.canceller.time_left());
    options.idle_timeout = this->active.canceller.time_left();
    if (this->active.matched_route.is_repeatable)
        options.idle_timeout = std::min(options.idle_timeout, engine_silence_limit);
    options.fresh_connection = true;
    options.abort = call->abort;
    ++this->decode_sends;
    this->outcome.endpoint = call->target.id;
    this->excluded_engines.insert(call->target.incarnation());
    call->uses_prefill = this->prefilled.has_value();
    this->context.report_suspect_send(this->active.request.id, call->target, this->active.request.traits);
    http::request request = this->make_decode_call(call->target);
    auto stream = co_await this->context.http_client.send(call->target.address, std::move(request), std::move(options));
    this->record_delivery_or_refund(this->delivered_decode_calls,
                                    stream.has_value() || may_have_arrived(stream.error().kind));
    if (!stream)
        co_return this->handle_failure(*call, stream.error());
    call->stream = std::move(*stream);
    co_return co_await this->follow(std::move(call));
}

/// Relays the answer of a call from where it stands. Returns with the call kept as the silent one if another engine may
/// be asked meanwhile.
asio::awaitable<model_forwarder::next_step> model_forwarder::follow(std::unique_ptr<engine_call> call)
{
    if (call->has_head)
        co_return co_await this->relay_stream(std::move(call));
    const auto failure = co_await this->read_head(*call);
    if (failure && this->must_return_to_silent_engine()) {
        // This call may run, so it ends here.
        this->end_prefill_use(*call);
        this->count_run(*call);
        co_return next_step::retry;
    }
    if (failure && failure->kind == error_kind::timed_out && this->may_ask_another_engine(*call))
        co_return this->leave_silent(std::move(call));
    if (failure)
        co_return this->handle_failure(*call, *failure);
    call->has_head = true;
    call->connection->record_bytes(runtime_clock::now());
    const http::response& head = call->stream->head();
    this->context.record_notice(call->target, call_kind::decode, this->active.request.id, head);
    this->log_call("decode_answered", work_kind::decode, call->target, call->sent_at, head);
    const std::string incarnation = call->target.incarnation();
    const time_point now = runtime_clock::now();
    switch (this->context.dialect.classify_answer(this->active.request, head)) {
    case answer_kind::not_executed:
        this->context.health.record_outcome(incarnation, call_outcome::rejected, now);
        this->discount_run(*call);
        this->rejecting_engines.insert(incarnation);
        co_return next_step::retry;
    case answer_kind::wrong_endpoint:
        this->context.mark_down(incarnation);
        this->discount_run(*call);
        co_return next_step::retry;
    case answer_kind::wrong_request:
    case answer_kind::unverified:
        this->end_prefill_use(*call);
        this->count_run(*call);
        this->context.health.record_outcome(incarnation, call_outcome::failed, now);
        co_return next_step::retry;
    case answer_kind::executed:
        break;
    }
    this->end_prefill_use(*call);
    this->count_run(*call);
    if (!is_event_stream(head))
        co_return co_await this->handle_plain_response(*call);
    this->silent_call.reset();
    co_return co_await this->relay_stream(std::move(call));
}

/// Returns why the head was not read: `timed_out` if the engine is silent.
asio::awaitable<std::optional<error>> model_forwarder::read_head(engine_call& call)
{
    const time_point deadline = this->active.canceller.deadline();
    const time_point handover_end = std::min(runtime_clock::now() + handover_time, deadline);
    while (this->silent_call && runtime_clock::now() < handover_end) {
        call.stream->set_read_timeout(std::min(handover_poll_interval, time_until(handover_end)));
        const auto read = co_await call.stream->read_head();
        if (read)
            co_return std::nullopt;
        if (read.error().kind != error_kind::timed_out)
            co_return read.error();
        if (this->must_return_to_silent_engine())
            co_return error{error_kind::timed_out, "the silent engine went on first", ""};
    }
    if (this->silent_call) {
        // Its run ends here, so it may be asked again if the other engine rejects the call.
        this->excluded_engines.erase(this->silent_call->target.incarnation());
        this->silent_call.reset();
    }
    const bool may_ask_another = this->may_ask_another_engine(call);
    call.stream->set_read_timeout(may_ask_another ? std::min(engine_silence_limit, time_until(deadline))
                                                  : time_until(deadline));
    const auto read = co_await call.stream->read_head();
    if (!read)
        co_return read.error();
    co_return std::nullopt;
}

asio::awaitable<model_forwarder::next_step> model_forwarder::relay_stream(std::unique_ptr<engine_call> call)
{
    http::body_stream& stream = *call->stream;
    if (!this->has_started_response) {
        this->has_started_response = true;
        this->active.canceller.record_response_start();
        http::response head = this->context.dialect.make_caller_head(stream.head());
        this->outcome.status = head.status;
        const bool is_head_sent = co_await this->active.caller.begin(std::move(head));
        if (!is_head_sent)
            co_return next_step::retry;
    }
    if (!std::exchange(call->is_relaying, true))
        this->relay.begin_run();
    time_point last_progress_at = runtime_clock::now();
    while (true) {
        // Only whole events count as progress: an engine that stalls may still send comments or parts of an event.
        const bool may_ask_another = this->may_ask_another_engine(*call);
        stream.set_read_timeout(
            time_until(may_ask_another ? last_progress_at + engine_silence_limit : this->active.canceller.deadline()));
        auto chunk = co_await stream.next();
        if (!chunk && chunk.error().kind == error_kind::timed_out && may_ask_another)
            co_return this->leave_silent(std::move(call));
        if (!chunk)
            co_return this->handle_failure(*call, chunk.error());
        call->connection->record_bytes(runtime_clock::now());
        const bool is_end = chunk->empty();
        if (is_end && this->is_torn(stream.head()))
            co_return this->handle_failure(
                *call, error{error_kind::connection_lost, "the stream ended before or inside an event", ""});
        const int events_before = this->relay.event_count();
        std::string new_events = is_end ? this->relay.take_remainder() : this->relay.push(*chunk);
        call->load->add_tokens((this->relay.event_count() - events_before) * this->tokens_per_event());
        if (!new_events.empty()) {
            this->record_events(*call);
            this->record_event_time();
            call->events += this->relay.event_count() - events_before;
            last_progress_at = runtime_clock::now();
            const bool is_written = co_await this->active.caller.write(std::move(new_events));
            if (!is_written)
                co_return next_step::retry;
        }
        if (this->relay.is_broken())
            co_return this->handle_failure(
                *call, error{error_kind::protocol, "an event is malformed or too long, or does not follow", ""});
        if (is_end)
            break;
    }
    if (call->first_event_at)
        this->record_sound_answer(*call);
    const time_point now = runtime_clock::now();
    this->context.health.record_outcome(call->target.incarnation(), call_outcome::answered, now);
    this->record_decode_pace(*call);
    if (this->decode_sends == 1)
        this->context.stream_times[this->active.service].record(this->active.request.expected_output_tokens,
                                                                now - call->sent_at);
    co_await this->active.caller.finish();
    co_return next_step::done;
}

void model_forwarder::record_pace(const endpoint& target, work_kind kind, double pace)
{
    count("radishstep_forward_pace_samples_total", {{"source", "own"}});
    this->context.model.record(this->active.service, {target.incarnation(), kind, pace}, runtime_clock::now());
}

void model_forwarder::record_decode_pace(const engine_call& call)
{
    if (call.events < min_paced_events || !call.first_event_at)
        return;
    const auto tokens = static_cast<double>((call.events - 1) * this->tokens_per_event());
    this->record_pace(call.target, work_kind::decode, to_ms(*this->last_event_at - *call.first_event_at) / tokens);
}

/// Returns whether a stream that ends here is incomplete. Framing does not tell: an engine that fails may still end its
/// chunks. A stream that nothing but its connection delimits has to have an event.
bool model_forwarder::is_torn(const http::response& head) const
{
    const bool has_events = this->relay.event_count() > 0 || this->relay.last_event_id();
    return this->relay.has_partial_event() || (is_unframed(head) && !has_events);
}

/// Handles a response that is no event stream, usually an error. None of it may get into a stream that has begun.
asio::awaitable<model_forwarder::next_step> model_forwarder::handle_plain_response(engine_call& call)
{
    const unsigned status = call.stream->head().status;
    const bool is_failure = is_failure_status(status) || this->has_started_response;
    this->context.health.record_outcome(
        call.target.incarnation(), is_failure ? call_outcome::failed : call_outcome::answered, runtime_clock::now());
    // The caller would take it as a promise that the request has not run, and may repeat it.
    if (is_refusal_status(status)) {
        this->context.report_untrue_refusal(this->active.request.id, call.target, status);
        co_return next_step::retry;
    }
    if (this->has_started_response || (is_failure && this->silent_call))
        co_return next_step::retry;
    if (is_failure && this->active.matched_route.is_repeatable &&
        this->run_count < this->active.matched_route.max_endpoints)
        co_return next_step::retry;
    this->silent_call.reset();
    http::response answer = this->context.dialect.make_caller_head(call.stream->head());
    while (true) {
        auto chunk = co_await call.stream->next();
        if (!chunk)
            co_return this->handle_failure(call, chunk.error());
        if (chunk->empty())
            break;
        answer.body += *chunk;
        if (answer.body.size() > max_plain_body_bytes) {
            const std::string size = std::to_string(answer.body.size());
            co_return this->handle_failure(
                call, error{error_kind::protocol, "the response has no end after " + size + " bytes", ""});
        }
    }
    this->outcome.status = answer.status;
    co_await this->active.caller.send(std::move(answer));
    co_return next_step::done;
}

/// Drops the prefill result that a call has handed over.
void model_forwarder::end_prefill_use(engine_call& call)
{
    if (std::exchange(call.uses_prefill, false))
        this->prefilled.reset();
}

/// Corrects the count for an engine that was silent and then said that it does not run the request.
void model_forwarder::discount_run(engine_call& call)
{
    if (std::exchange(call.is_counted, false))
        --this->run_count;
}

void model_forwarder::count_run(engine_call& call)
{
    if (!std::exchange(call.is_counted, true))
        ++this->run_count;
}

model_forwarder::next_step model_forwarder::handle_failure(engine_call& call, const error& reason)
{
    if (may_have_arrived(reason.kind)) {
        this->end_prefill_use(call);
        this->count_run(call);
    }
    log_decision("stream_broken", {{"request", this->active.request.id},
                                   {"endpoint", call.target.id},
                                   {"events", std::to_string(this->relay.event_count())},
                                   {"left_ms", std::to_string(this->active.canceller.time_left().count())},
                                   {"prompt_parts", join_first(this->active.request.prompt_parts)},
                                   {"cause", describe(reason)}});
    // A call that this host ended itself, for its caller or at the deadline, says nothing of its engine.
    const bool is_lost = reason.kind == error_kind::connection_lost && !this->active.canceller.has_expired() &&
                         !this->active.canceller.is_caller_disconnected();
    if (is_lost)
        call.connection->break_off(runtime_clock::now());
    if (is_lost && !call.is_shown_sound) {
        this->context.record_lost_request(call.target, this->active.request.traits, call.sent_at, call.first_event_at);
        this->trial.end(true);
    }
    if (!this->active.canceller.is_caller_disconnected())
        this->context.record_call_failure(call.target.incarnation(), reason.kind);
    return next_step::retry;
}

/// Returns whether the request may go on at an engine other than that of `call`.
bool model_forwarder::may_ask_another_engine(const engine_call& call) const
{
    const unsigned runs = this->run_count + (call.is_counted ? 0 : 1);
    return this->active.matched_route.is_repeatable && this->relay.can_resume() &&
           runs < this->active.matched_route.max_endpoints && !this->has_used_up_sends();
}

/// Keeps the call of a silent engine open, so that its answer can go on if no other engine takes the request.
model_forwarder::next_step model_forwarder::leave_silent(std::unique_ptr<engine_call> call)
{
    this->end_prefill_use(*call);
    this->count_run(*call);
    ++call->silences;
    count("radishstep_forward_engine_silences_total");
    log_decision("engine_silent", {{"request", this->active.request.id},
                                   {"endpoint", call->target.id},
                                   {"events", std::to_string(this->relay.event_count())},
                                   {"left_ms", std::to_string(this->active.canceller.time_left().count())}});
    this->forget_rejections();
    this->context.checker.check(call->target);
    if (call->silences == 1)
        this->context.record_call_failure(call->target.incarnation(), error_kind::timed_out);
    this->silent_call = std::move(call);
    return next_step::retry;
}

/// Lets the engines that rejected the request be asked again: they may have room by now.
void model_forwarder::forget_rejections()
{
    for (const std::string& incarnation : this->rejecting_engines)
        this->excluded_engines.erase(incarnation);
    this->rejecting_engines.clear();
}

bool model_forwarder::may_await_silent_engine() const
{
    return this->silent_call && !this->active.canceller.is_caller_disconnected() &&
           this->active.canceller.time_left() >= min_forward_time;
}

bool model_forwarder::has_silent_engine_resumed() const
{
    return this->silent_call && this->silent_call->stream->has_unread_bytes();
}

/// Returns whether the stream stays with its engine, which was silent, although another one may be at hand. An engine
/// that falls silent again is left: it is slow, and each engine that is asked for nothing costs a prefill.
bool model_forwarder::must_return_to_silent_engine() const
{
    return this->has_silent_engine_resumed() && this->silent_call->silences == 1;
}

asio::awaitable<model_forwarder::next_step> model_forwarder::resume_silent_call()
{
    this->release_prefill();
    std::unique_ptr<engine_call> call = std::move(this->silent_call);
    this->active.canceller.resume_call(call->abort);
    this->outcome.endpoint = call->target.id;
    co_return co_await this->follow(std::move(call));
}

/// Ends the request, or gives the reserved capacity back and waits: a silent engine may go on, or the budget may allow
/// a call later.
asio::awaitable<model_forwarder::next_step> model_forwarder::stop_without_budget(reservation& reserved)
{
    if (!this->may_await_silent_engine() && !this->may_continue_started_stream())
        co_return next_step::done;
    this->budget_error.reset();
    reserved.prefill_load.reset();
    reserved.decode_load.reset();
    if (this->may_await_silent_engine())
        co_return co_await this->resume_silent_call();
    co_await this->active.canceller.wait_for(started_stream_retry_interval);
    co_return next_step::retry;
}

/// Returns whether a stream that has lost its engine waits on. It cannot be refused any more.
bool model_forwarder::may_continue_started_stream() const
{
    return this->has_started_response && !this->context.stop_deadline &&
           !this->active.canceller.is_caller_disconnected() && this->active.canceller.time_left() >= min_forward_time;
}

bool model_forwarder::has_used_up_sends() const
{
    return this->decode_sends + this->prefill_sends >= max_model_sends;
}

asio::awaitable<void> model_forwarder::pause_before_send()
{
    const milliseconds duration = std::max(this->next_send_pause, started_stream_retry_interval);
    this->next_send_pause = std::min(2 * duration, max_send_pause);
    co_await this->active.canceller.wait_for(duration);
}

void model_forwarder::release_prefill()
{
    if (!this->has_prefilled_prompt())
        return;
    // An engine that asked for a pause gets no release call either; the result expires by itself.
    if (this->context.notices.paused_until(this->prefilled->engine, runtime_clock::now()))
        return;
    asio::co_spawn(this->context.executor,
                   send_release_call(this->context, this->prefilled->engine, this->prefilled->result), asio::detached);
    this->prefilled.reset();
}

/// Returns whether engines have crashed on the request or its prompt; one that has shown itself sound is past that.
bool model_forwarder::is_quarantined() const
{
    if (this->is_shown_sound)
        return false;
    return this->trial.is_refused() || this->context.is_quarantined(this->active.request.traits, this->run_count > 0);
}

std::optional<error> model_forwarder::reason_to_stop() const
{
    if (this->active.canceller.is_caller_disconnected())
        return error{error_kind::caller_gone, "the caller disconnected", ""};
    if (this->is_quarantined())
        return quarantine_error();
    if (!this->relay.can_resume())
        return error{error_kind::outcome_unknown, "the stream broke after an event without an id", ""};
    if (this->run_count > 0 && !this->active.matched_route.is_repeatable)
        return error{error_kind::outcome_unknown, "the engine's stream broke and may not be repeated", ""};
    if (this->run_count >= this->active.matched_route.max_endpoints)
        return error{error_kind::endpoint_failed, "no engine completed the stream", ""};
    if (this->active.canceller.time_left() < this->required_time())
        return error{this->run_count > 0 ? error_kind::deadline_exceeded : error_kind::overloaded,
                     "too little time is left before the request's deadline", "allow more time"};
    if (this->has_used_up_sends() && (this->silent_call || !this->may_continue_started_stream()))
        return error{this->run_count > 0 ? error_kind::endpoint_failed : error_kind::overloaded,
                     "several engines could not take the request", "retry after the given time"};
    return std::nullopt;
}

asio::awaitable<void> model_forwarder::finish(const error& reason)
{
    this->outcome.cause = reason.message;
    if (this->active.canceller.is_caller_disconnected())
        co_return;
    // A response that has started can only be cut off; the caller sees that its end is missing.
    if (this->has_started_response) {
        count("radishstep_forward_streams_cut_total", {{"cause", std::string{to_string(reason.kind)}}});
        co_return;
    }
    const bool may_have_run = this->run_count > 0;
    const error reported = error_for_caller(reason, may_have_run);
    const auto retry_after = this->context.caller_retry_delay(this->active.service, reported.kind, may_have_run,
                                                              this->active.canceller.time_left());
    http::response response = this->context.dialect.make_refusal(this->active.request.id, reported, retry_after);
    this->outcome.status = response.status;
    co_await this->active.caller.send(std::move(response));
}

} // namespace radishstep::forward
