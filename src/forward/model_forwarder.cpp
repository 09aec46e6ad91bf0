#include "forward/model_forwarder.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "forward/capacity_wait.h"
#include "forward/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// A prefill call times out after prefill_timeout_factor times its expected duration plus prefill_timeout_margin. The
/// expected duration is endpoint_chooser::prefill_time(), which includes the prompts pending at the engine.
constexpr milliseconds prefill_timeout_margin{500};
constexpr double prefill_timeout_factor = 2.5;

/// A prefill result is not used in the last part of its lifetime, since the decode engine could fetch it too late.
constexpr milliseconds prefill_fetch_margin{60};

/// Idle timeout of a stream that may resume at another engine; callers abandon a stream after longer gaps.
constexpr milliseconds resumable_stream_idle_timeout{1'200};

/// Longest body of an engine's error response that is forwarded.
constexpr std::size_t max_error_body_bytes = 64UL * 1024;

/// Most calls per request: one set of sends for the prefill calls and one for the decode calls.
constexpr int max_model_sends = 2 * max_sends;

/// Returns the time until `deadline`, at least 1 ms.
milliseconds time_until(time_point deadline)
{
    return std::max(std::chrono::duration_cast<milliseconds>(deadline - runtime_clock::now()), milliseconds{1});
}

std::string ms_since(time_point start)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(runtime_clock::now() - start).count());
}

asio::awaitable<void> send_release_call(http::client& calls, std::string address, http::request call)
{
    http::call_options options;
    options.connect_timeout = connect_timeout;
    options.idle_timeout = connect_timeout;
    const auto answer = co_await calls.call(std::move(address), std::move(call), std::move(options));
    if (!answer)
        count("radishstep_forward_release_failed_total");
}

} // namespace

model_forwarder::model_forwarder(forward_context& context, active_request active)
    : context(context), active(active), relay(active.request.last_event_id)
{
}

asio::awaitable<request_outcome> model_forwarder::run()
{
    std::optional<error> reason;
    while (true) {
        reason = this->reason_to_stop();
        if (reason)
            break;
        auto reserved = co_await this->wait_for_reservation();
        if (!reserved) {
            reason = reserved.error();
            break;
        }
        const next_step next = co_await this->serve_with(*reserved);
        if (next == next_step::done) {
            reason = this->budget_error;
            break;
        }
    }
    this->release_prefill();
    if (reason)
        co_await this->finish(*reason);
    this->outcome.send_count = this->prefill_sends + this->decode_sends;
    co_return this->outcome;
}

model_demand model_forwarder::demand() const
{
    const service* service_config = this->context.config->find_service(this->active.service);
    model_demand needed;
    needed.service = this->active.service;
    needed.prompt_tokens = this->active.request.prompt_tokens;
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
    const auto no_engine_cause = co_await wait_for_capacity(this->context, this->active, this->excluded_engines,
                                                            deadlines, std::move(select_engines));
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
    const service* service_config = this->context.config->find_service(this->active.service);
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
    if (reserved.engines.prefill) {
        const endpoint prefill_engine = *reserved.engines.prefill;
        if (!this->try_spend_retry_budget(this->delivered_prefill_calls))
            co_return next_step::done;
        const bool is_prefilled = co_await this->run_prefill(prefill_engine);
        reserved.prefill_load->end();
        if (!is_prefilled) {
            this->excluded_engines.insert(prefill_engine.incarnation());
            co_return next_step::retry;
        }
    }
    if (this->active.canceller.is_caller_disconnected())
        co_return next_step::retry;
    if (!this->confirm_decode_engine(reserved))
        co_return next_step::retry;
    if (!this->try_spend_retry_budget(this->delivered_decode_calls))
        co_return next_step::done;
    co_return co_await this->run_decode(reserved.engines.decode, *reserved.decode_load);
}

void model_forwarder::record_delivery_or_refund(int& delivered_calls, bool is_delivered)
{
    if (is_delivered)
        ++delivered_calls;
    else if (delivered_calls > 0)
        this->context.budget.refund(this->active.service);
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

void model_forwarder::log_call(std::string_view event, const endpoint& target, time_point sent_at,
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
    const milliseconds expected_without_slowdown{
        static_cast<milliseconds::rep>(to_ms(expected) / this->context.health.slowdown(target.incarnation(), sent_at))};
    const auto timeout =
        prefill_timeout_margin + milliseconds{static_cast<std::int64_t>(to_ms(expected) * prefill_timeout_factor)};
    http::call_options options;
    options.connect_timeout = std::min(connect_timeout, this->active.canceller.time_left());
    options.idle_timeout = std::min(timeout, this->active.canceller.time_left());
    options.abort = this->active.canceller.begin_call();
    options.is_matching_response = [this](const http::response& head) {
        return this->context.dialect.classify_answer(this->active.request, head) != answer_kind::wrong_request;
    };
    ++this->prefill_sends;
    http::request call =
        this->context.dialect.make_prefill_call(this->active.request, target, this->active.canceller.time_left());
    auto answer = co_await this->context.http_client.call(target.address, std::move(call), std::move(options));
    const time_point now = runtime_clock::now();
    if (answer) {
        this->context.record_notice(target, call_kind::prefill, this->active.request.id, *answer);
        this->log_call("prefill_ended", target, sent_at, *answer);
    } else
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
    this->context.health.record_slowdown(target.incarnation(), to_ms(now - sent_at) / to_ms(expected_without_slowdown),
                                         now);
    const service* service_config = this->context.config->find_service(this->active.service);
    const milliseconds lifetime = service_config == nullptr ? milliseconds{0} : service_config->prefill_lifetime;
    this->prefilled = prefilled_prompt{std::move(*result), target.zone, now + lifetime - prefill_fetch_margin, target};
    co_return true;
}

asio::awaitable<model_forwarder::next_step> model_forwarder::run_decode(const endpoint& target, load_guard& decode_load)
{
    const time_point sent_at = runtime_clock::now();
    http::call_options options;
    options.connect_timeout = std::min(connect_timeout, this->active.canceller.time_left());
    options.idle_timeout = this->active.canceller.time_left();
    if (this->active.matched_route.is_repeatable)
        options.idle_timeout = std::min(options.idle_timeout, resumable_stream_idle_timeout);
    options.fresh_connection = true;
    options.abort = this->active.canceller.begin_call();
    ++this->decode_sends;
    this->outcome.endpoint = target.id;
    this->excluded_engines.insert(target.incarnation());
    http::request call = this->make_decode_call(target);
    auto stream = co_await this->context.http_client.open(target.address, std::move(call), std::move(options));
    this->record_delivery_or_refund(this->delivered_decode_calls,
                                    stream.has_value() || may_have_arrived(stream.error().kind));
    if (!stream)
        co_return this->handle_failure(target, stream.error());
    this->context.record_notice(target, call_kind::decode, this->active.request.id, (*stream)->head());
    this->log_call("decode_answered", target, sent_at, (*stream)->head());
    const time_point now = runtime_clock::now();
    switch (this->context.dialect.classify_answer(this->active.request, (*stream)->head())) {
    case answer_kind::not_executed:
        this->context.health.record_outcome(target.incarnation(), call_outcome::rejected, now);
        co_return next_step::retry;
    case answer_kind::wrong_endpoint:
        this->context.mark_down(target.incarnation());
        co_return next_step::retry;
    case answer_kind::wrong_request:
    case answer_kind::unverified:
        this->prefilled.reset();
        ++this->run_count;
        this->context.health.record_outcome(target.incarnation(), call_outcome::failed, now);
        co_return next_step::retry;
    case answer_kind::executed:
        break;
    }
    this->prefilled.reset();
    ++this->run_count;
    if ((*stream)->head().status >= min_failure_status)
        co_return co_await this->handle_error_response(target, **stream);
    co_return co_await this->relay_stream(target, decode_load, **stream, sent_at);
}

asio::awaitable<model_forwarder::next_step> model_forwarder::relay_stream(const endpoint& target,
                                                                          load_guard& decode_load,
                                                                          http::body_stream& stream, time_point sent_at)
{
    if (!this->has_started_response) {
        this->has_started_response = true;
        http::response head = this->context.dialect.make_caller_head(stream.head());
        this->outcome.status = head.status;
        const bool is_head_sent = co_await this->active.caller.begin(std::move(head));
        if (!is_head_sent)
            co_return next_step::retry;
    }
    this->relay.discard_partial_event();
    time_point last_progress_at = runtime_clock::now();
    while (true) {
        // Only whole events count as progress: an engine that stalls may still send comments or parts of an event.
        if (this->active.matched_route.is_repeatable)
            stream.set_read_timeout(time_until(last_progress_at + resumable_stream_idle_timeout));
        auto chunk = co_await stream.next();
        if (!chunk)
            co_return this->handle_failure(target, chunk.error());
        const bool is_end = chunk->empty();
        const int events_before = this->relay.event_count();
        std::string new_events = is_end ? this->relay.take_remainder() : this->relay.push(*chunk);
        decode_load.add_tokens((this->relay.event_count() - events_before) * this->tokens_per_event());
        if (this->relay.is_broken())
            co_return this->handle_failure(target, error{error_kind::protocol, "an event is too long", ""});
        if (!new_events.empty()) {
            this->record_event_time();
            last_progress_at = runtime_clock::now();
            const bool is_written = co_await this->active.caller.write(std::move(new_events));
            if (!is_written)
                co_return next_step::retry;
        }
        if (is_end)
            break;
    }
    const time_point now = runtime_clock::now();
    this->context.health.record_outcome(target.incarnation(), call_outcome::answered, now);
    if (this->decode_sends == 1)
        this->context.stream_times[this->active.service].record(this->active.request.expected_output_tokens,
                                                                now - sent_at);
    co_await this->active.caller.finish();
    co_return next_step::done;
}

asio::awaitable<model_forwarder::next_step> model_forwarder::handle_error_response(const endpoint& target,
                                                                                   http::body_stream& stream)
{
    this->context.health.record_outcome(target.incarnation(), call_outcome::failed, runtime_clock::now());
    if (this->active.matched_route.is_repeatable && this->run_count < this->active.matched_route.max_endpoints)
        co_return next_step::retry;
    if (this->has_started_response)
        co_return next_step::retry;
    http::response answer = this->context.dialect.make_caller_head(stream.head());
    while (true) {
        auto chunk = co_await stream.next();
        if (!chunk)
            co_return this->handle_failure(target, chunk.error());
        if (chunk->empty())
            break;
        answer.body += *chunk;
        if (answer.body.size() > max_error_body_bytes) {
            const std::string size = std::to_string(answer.body.size());
            co_return this->handle_failure(
                target, error{error_kind::protocol, "the error response has no end after " + size + " bytes", ""});
        }
    }
    this->outcome.status = answer.status;
    co_await this->active.caller.send(std::move(answer));
    co_return next_step::done;
}

model_forwarder::next_step model_forwarder::handle_failure(const endpoint& target, const error& reason)
{
    const bool may_have_run = may_have_arrived(reason.kind);
    if (may_have_run)
        this->prefilled.reset();
    if (may_have_run && !this->has_started_response)
        ++this->run_count;
    log_decision("stream_broken", {{"request", this->active.request.id},
                                   {"endpoint", target.id},
                                   {"events", std::to_string(this->relay.event_count())},
                                   {"cause", describe(reason)}});
    if (!this->active.canceller.is_caller_disconnected())
        this->context.record_call_failure(target.incarnation(), reason.kind);
    return next_step::retry;
}

void model_forwarder::release_prefill()
{
    if (!this->has_prefilled_prompt())
        return;
    // An engine that asked for a pause gets no release call either; the result expires by itself.
    if (this->context.notices.paused_until(this->prefilled->engine, runtime_clock::now()))
        return;
    const prefill_result result = this->prefilled->result;
    asio::co_spawn(
        this->context.executor,
        send_release_call(this->context.http_client, result.address, this->context.dialect.make_release_call(result)),
        asio::detached);
}

std::optional<error> model_forwarder::reason_to_stop() const
{
    if (this->active.canceller.is_caller_disconnected())
        return error{error_kind::caller_gone, "the caller disconnected", ""};
    if (this->run_count > 0 && !this->active.matched_route.is_repeatable)
        return error{error_kind::outcome_unknown, "the engine's stream broke and may not be repeated", ""};
    if (this->run_count >= this->active.matched_route.max_endpoints)
        return error{error_kind::endpoint_failed, "no engine completed the stream", ""};
    if (this->active.canceller.time_left() < this->required_time())
        return error{this->run_count > 0 ? error_kind::deadline_exceeded : error_kind::overloaded,
                     "too little time is left before the request's deadline", "allow more time"};
    if (this->decode_sends + this->prefill_sends >= max_model_sends)
        return error{this->run_count > 0 ? error_kind::endpoint_failed : error_kind::overloaded,
                     "several engines could not take the request", "retry after the given time"};
    return std::nullopt;
}

asio::awaitable<void> model_forwarder::finish(const error& reason)
{
    this->outcome.cause = reason.message;
    // A response that has started can only be cut off; the caller sees that its end is missing.
    if (this->active.canceller.is_caller_disconnected() || this->has_started_response)
        co_return;
    const bool may_have_run = this->run_count > 0;
    const error reported = error_for_caller(reason, may_have_run);
    const auto retry_after = this->context.caller_retry_delay(this->active.service, reported.kind, may_have_run,
                                                              this->active.canceller.time_left());
    http::response response = this->context.dialect.make_refusal(this->active.request.id, reported, retry_after);
    this->outcome.status = response.status;
    co_await this->active.caller.send(std::move(response));
}

} // namespace radishstep::forward
