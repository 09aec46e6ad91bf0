#include "forward/model_forwarder.h"

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

/// A prefill engine that takes this much longer than expected counts as stuck.
constexpr milliseconds prefill_margin{500};
constexpr double prefill_factor = 2.5;

/// A read prompt is not fetched in the last part of its time: the call would arrive too late.
constexpr milliseconds fetch_margin{60};

/// How long a stream that may go on elsewhere can stay silent: longer pauses lose the caller.
constexpr milliseconds silence_of_movable_stream{1'200};

std::string ms_since(time_point start)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(runtime_clock::now() - start).count());
}

asio::awaitable<void> call_and_forget(http::client& calls, std::string address, http::request call)
{
    http::call_options options;
    options.connect_timeout = connect_time;
    options.idle_timeout = connect_time;
    const auto got = co_await calls.call(std::move(address), std::move(call), std::move(options));
    if (!got)
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
        auto reserved = co_await this->reserve();
        if (!reserved) {
            reason = reserved.error();
            break;
        }
        const next_step next = co_await this->serve_at(*reserved);
        if (next == next_step::done) {
            reason = this->refused;
            break;
        }
    }
    this->release_prompt();
    if (reason)
        co_await this->finish(*reason);
    this->outcome.sends = this->prefill_sends + this->decode_sends;
    co_return this->outcome;
}

model_demand model_forwarder::demand() const
{
    const service* known = this->context.config->find_service(this->active.service);
    model_demand wanted;
    wanted.service = this->active.service;
    wanted.prompt_tokens = this->active.request.prompt_tokens;
    wanted.kv_capacity_tokens = known == nullptr ? 0 : known->kv_capacity_tokens;
    return wanted;
}

model_forwarder::reserved_places model_forwarder::hold(engine_choice places)
{
    const model_demand wanted = this->demand();
    endpoint_load decoding;
    decoding.calls = 1;
    decoding.tokens = wanted.prompt_kv_tokens();
    decoding.pending_prefill_tokens = places.prefill || this->read ? 0 : wanted.prompt_tokens;
    reserved_places held;
    held.decoding = std::make_unique<load_guard>(this->context, places.decode.incarnation(), decoding);
    if (places.prefill) {
        endpoint_load reading;
        reading.calls = 1;
        reading.tokens = wanted.prompt_tokens;
        reading.pending_prefill_tokens = wanted.prompt_tokens;
        held.reading = std::make_unique<load_guard>(this->context, places.prefill->incarnation(), reading);
    }
    held.places = std::move(places);
    return held;
}

asio::awaitable<tl::expected<model_forwarder::reserved_places, error>> model_forwarder::reserve()
{
    engine_choice found;
    endpoint_selector find = [this, &found](const selection_context& search) -> std::optional<selection_failure> {
        auto looked = this->look_for_places(search);
        if (!looked)
            return looked.error();
        found = std::move(*looked);
        return std::nullopt;
    };
    wait_deadlines bounds = compute_wait_deadlines(this->active, serving_time, longest_wait_objectives);
    if (this->is_answer_open)
        bounds = extend_for_started_stream(bounds, runtime_clock::now() + this->active.canceller.time_left());
    const auto missing = co_await wait_for_capacity(this->context, this->active, this->avoided, bounds, std::move(find));
    if (this->active.canceller.is_caller_disconnected())
        co_return fail(error_kind::caller_gone, "the caller has left", "");
    if (missing)
        co_return tl::unexpected{to_error(*missing)};
    co_return this->hold(std::move(found));
}

tl::expected<engine_choice, selection_failure> model_forwarder::look_for_places(const selection_context& search)
{
    const time_point now = runtime_clock::now();
    if (this->has_kept_prompt())
        return this->context.chooser.choose_decode_engine(this->demand(), this->read->zone, search, now);
    this->read.reset();
    return this->context.chooser.choose_engines(this->demand(), search, now);
}

/// While the prompt was read, the decode engine may have begun to drain, or other hosts may have taken the same
/// place without knowing of each other; the engine would reject whoever comes last. Returns false when the
/// request has to look for another place.
bool model_forwarder::confirm_engine(reserved_places& reserved)
{
    const time_point now = runtime_clock::now();
    const endpoint before = reserved.places.decode;
    if (!this->context.directory.accepts_work(before))
        return false;
    if (!this->has_kept_prompt() || !this->context.chooser.is_overbooked(before, this->demand(), now))
        return true;
    excluded_endpoints others = this->avoided;
    others.insert(before.incarnation());
    const selection_context search{others, this->context.draw(), 0, this->context.are_peer_loads_current};
    auto found = this->context.chooser.choose_decode_engine(this->demand(), this->read->zone, search, now);
    log_decision("overbooked", {{"request", this->active.request.id},
                                {"endpoint", before.id},
                                {"instead", found ? found->decode.id : "none has room"}});
    if (found)
        reserved = this->hold(std::move(*found));
    return true;
}

std::int64_t model_forwarder::tokens_per_event() const
{
    const service* known = this->context.config->find_service(this->active.service);
    return known == nullptr ? 1 : known->tokens_per_event;
}

asio::awaitable<model_forwarder::next_step> model_forwarder::serve_at(reserved_places& reserved)
{
    if (reserved.places.prefill) {
        const endpoint reader = *reserved.places.prefill;
        if (!this->may_send(this->prefill_arrivals))
            co_return next_step::done;
        const bool is_read = co_await this->read_prompt(reader);
        reserved.reading->end();
        if (!is_read) {
            this->avoided.insert(reader.incarnation());
            co_return next_step::try_again;
        }
    }
    if (this->active.canceller.is_caller_disconnected())
        co_return next_step::try_again;
    if (!this->confirm_engine(reserved))
        co_return next_step::try_again;
    if (!this->may_send(this->decode_arrivals))
        co_return next_step::done;
    co_return co_await this->decode_at(reserved.places.decode, *reserved.decoding);
}

void model_forwarder::note_arrival(int& arrivals, bool has_arrived)
{
    if (has_arrived)
        ++arrivals;
    else if (arrivals > 0)
        this->context.budget.refund(this->active.service);
}

void model_forwarder::note_event()
{
    const time_point now = runtime_clock::now();
    if (this->last_event_at) {
        const auto pause = std::chrono::duration_cast<milliseconds>(now - *this->last_event_at);
        this->outcome.longest_pause = std::max(this->outcome.longest_pause, pause);
    } else {
        this->outcome.first_after = std::chrono::duration_cast<milliseconds>(now - this->active.arrived_at);
    }
    this->last_event_at = now;
}

http::request model_forwarder::decode_call_to(const endpoint& at) const
{
    std::optional<prefill_result> source;
    if (this->read)
        source = this->read->result;
    return this->context.dialect.make_decode_call(this->active.request, at, this->active.canceller.time_left(), source,
                                             this->relay.last_event_id());
}

void model_forwarder::log_call(std::string_view what, const endpoint& at, time_point sent,
                             const http::response& answer) const
{
    constexpr unsigned ok = 200;
    if (answer.status == ok && !is_sampled(this->active.request.id))
        return;
    const endpoint_load believed = this->context.load.at(at.incarnation(), runtime_clock::now());
    log_decision(what, {{"request", this->active.request.id},
                        {"endpoint", at.id},
                        {"ms", ms_since(sent)},
                        {"status", std::to_string(answer.status)},
                        {"believed_calls", std::to_string(believed.calls)},
                        {"believed_tokens", std::to_string(believed.tokens)}});
}

void model_forwarder::log_call(std::string_view what, const endpoint& at, time_point sent, const error& reason) const
{
    log_decision(
        what,
        {{"request", this->active.request.id}, {"endpoint", at.id}, {"ms", ms_since(sent)}, {"cause", describe(reason)}});
}

bool model_forwarder::has_kept_prompt() const
{
    return this->read && runtime_clock::now() < this->read->until;
}

bool model_forwarder::may_send(int arrivals_before)
{
    if (arrivals_before == 0 || this->context.budget.try_spend(this->active.service, runtime_clock::now()))
        return true;
    this->refused = error{error_kind::overloaded, "the retry budget is spent", "retry after the given time"};
    return false;
}

asio::awaitable<bool> model_forwarder::read_prompt(const endpoint& at)
{
    const time_point sent = runtime_clock::now();
    const milliseconds expected = this->context.chooser.prefill_time(at, 0, sent);
    const milliseconds usual{
        static_cast<milliseconds::rep>(to_ms(expected) / this->context.health.slowdown(at.incarnation(), sent))};
    const auto limit = prefill_margin + milliseconds{static_cast<std::int64_t>(to_ms(expected) * prefill_factor)};
    http::call_options options;
    options.connect_timeout = std::min(connect_time, this->active.canceller.time_left());
    options.idle_timeout = std::min(limit, this->active.canceller.time_left());
    options.abort = this->active.canceller.next_call();
    options.is_matching_response = [this](const http::response& head) {
        return this->context.dialect.classify_answer(this->active.request, head) != answer_kind::wrong_request;
    };
    ++this->prefill_sends;
    http::request call = this->context.dialect.make_prefill_call(this->active.request, at, this->active.canceller.time_left());
    auto got = co_await this->context.calls.call(at.address, std::move(call), std::move(options));
    const time_point now = runtime_clock::now();
    if (got)
        this->log_call("prefill_ended", at, sent, *got);
    else
        this->log_call("prefill_failed", at, sent, got.error());
    this->note_arrival(this->prefill_arrivals, got.has_value() || may_have_arrived(got.error().kind));
    if (this->active.canceller.is_caller_disconnected())
        co_return false;
    if (!got) {
        this->context.note_failure(at.incarnation(), got.error().kind);
        co_return false;
    }
    auto result = this->context.dialect.parse_prefill_answer(at, *got);
    if (!result) {
        const answer_kind kind = this->context.dialect.classify_answer(this->active.request, *got);
        const bool is_full = kind == answer_kind::not_executed;
        if (kind == answer_kind::wrong_endpoint)
            this->context.record_down(at.incarnation());
        else
            this->context.health.record_outcome(at.incarnation(), is_full ? call_outcome::rejected : call_outcome::failed, now);
        co_return false;
    }
    this->context.health.record_outcome(at.incarnation(), call_outcome::answered, now);
    this->context.health.record_slowdown(at.incarnation(), to_ms(now - sent) / to_ms(usual), now);
    const service* known = this->context.config->find_service(this->active.service);
    const milliseconds lifetime = known == nullptr ? milliseconds{0} : known->prefill_lifetime;
    this->read = kept_prompt{std::move(*result), at.zone, now + lifetime - fetch_margin};
    co_return true;
}

asio::awaitable<model_forwarder::next_step> model_forwarder::decode_at(const endpoint& at, load_guard& place)
{
    const time_point sent = runtime_clock::now();
    http::call_options options;
    options.connect_timeout = std::min(connect_time, this->active.canceller.time_left());
    options.idle_timeout = this->active.canceller.time_left();
    if (this->active.matched_route.is_repeatable)
        options.idle_timeout = std::min(options.idle_timeout, silence_of_movable_stream);
    options.fresh_connection = true;
    options.abort = this->active.canceller.next_call();
    ++this->decode_sends;
    this->outcome.endpoint = at.id;
    this->avoided.insert(at.incarnation());
    http::request call = this->decode_call_to(at);
    auto stream = co_await this->context.calls.open(at.address, std::move(call), std::move(options));
    this->note_arrival(this->decode_arrivals, stream.has_value() || may_have_arrived(stream.error().kind));
    if (!stream)
        co_return this->take_failure(at, stream.error());
    this->log_call("decode_answered", at, sent, (*stream)->head());
    const time_point now = runtime_clock::now();
    switch (this->context.dialect.classify_answer(this->active.request, (*stream)->head())) {
    case answer_kind::not_executed:
        this->context.health.record_outcome(at.incarnation(), call_outcome::rejected, now);
        co_return next_step::try_again;
    case answer_kind::wrong_endpoint:
        this->context.record_down(at.incarnation());
        co_return next_step::try_again;
    case answer_kind::wrong_request:
    case answer_kind::unverified:
        this->read.reset();
        ++this->runs;
        this->context.health.record_outcome(at.incarnation(), call_outcome::failed, now);
        co_return next_step::try_again;
    case answer_kind::executed:
        break;
    }
    this->read.reset();
    ++this->runs;
    if ((*stream)->head().status >= min_failure_status)
        co_return co_await this->pass_failure_on(at, **stream);
    co_return co_await this->pass_on(at, place, **stream);
}

asio::awaitable<model_forwarder::next_step> model_forwarder::pass_on(const endpoint& at, load_guard& place,
                                                                 http::body_stream& stream)
{
    if (!this->is_answer_open) {
        this->is_answer_open = true;
        http::response head = this->context.dialect.make_caller_head(stream.head());
        this->outcome.status = head.status;
        const bool is_begun = co_await this->active.caller.begin(std::move(head));
        if (!is_begun)
            co_return next_step::try_again;
    }
    this->relay.discard_partial_event();
    while (true) {
        auto part = co_await stream.next();
        if (!part)
            co_return this->take_failure(at, part.error());
        const bool is_end = part->empty();
        const int events_before = this->relay.events();
        std::string ready = is_end ? this->relay.take_remainder() : this->relay.push(*part);
        place.add_tokens((this->relay.events() - events_before) * this->tokens_per_event());
        if (this->relay.is_broken())
            co_return this->take_failure(at, error{error_kind::protocol, "an event is too long", ""});
        if (!ready.empty()) {
            this->note_event();
            const bool is_written = co_await this->active.caller.write(std::move(ready));
            if (!is_written)
                co_return next_step::try_again;
        }
        if (is_end)
            break;
    }
    this->context.health.record_outcome(at.incarnation(), call_outcome::answered, runtime_clock::now());
    co_await this->active.caller.finish();
    co_return next_step::done;
}

asio::awaitable<model_forwarder::next_step> model_forwarder::pass_failure_on(const endpoint& at, http::body_stream& stream)
{
    this->context.health.record_outcome(at.incarnation(), call_outcome::failed, runtime_clock::now());
    if (this->active.matched_route.is_repeatable && this->runs < this->active.matched_route.max_endpoints)
        co_return next_step::try_again;
    if (this->is_answer_open)
        co_return next_step::try_again;
    http::response answer = this->context.dialect.make_caller_head(stream.head());
    while (true) {
        auto part = co_await stream.next();
        if (!part)
            co_return this->take_failure(at, part.error());
        if (part->empty())
            break;
        answer.body += *part;
    }
    this->outcome.status = answer.status;
    co_await this->active.caller.send(std::move(answer));
    co_return next_step::done;
}

model_forwarder::next_step model_forwarder::take_failure(const endpoint& at, const error& reason)
{
    const bool was_sent = may_have_arrived(reason.kind);
    if (was_sent)
        this->read.reset();
    if (was_sent && !this->is_answer_open)
        ++this->runs;
    log_decision("stream_broken", {{"request", this->active.request.id},
                                   {"endpoint", at.id},
                                   {"events", std::to_string(this->relay.events())},
                                   {"cause", describe(reason)}});
    if (!this->active.canceller.is_caller_disconnected())
        this->context.note_failure(at.incarnation(), reason.kind);
    return next_step::try_again;
}

void model_forwarder::release_prompt()
{
    if (!this->has_kept_prompt())
        return;
    const prefill_result result = this->read->result;
    asio::co_spawn(this->context.executor,
                   call_and_forget(this->context.calls, result.address, this->context.dialect.make_release_call(result)),
                   asio::detached);
}

std::optional<error> model_forwarder::reason_to_stop() const
{
    if (this->active.canceller.is_caller_disconnected())
        return error{error_kind::caller_gone, "the caller has left", ""};
    if (this->runs > 0 && !this->active.matched_route.is_repeatable)
        return error{error_kind::outcome_unknown, "the engine's stream broke and may not be repeated", ""};
    if (this->runs >= this->active.matched_route.max_endpoints)
        return error{error_kind::endpoint_failed, "no engine gave a whole stream", ""};
    if (this->active.canceller.time_left() < min_forward_time)
        return error{this->runs > 0 ? error_kind::deadline_exceeded : error_kind::overloaded,
                     "the time for the request is over", "allow more time"};
    if (this->decode_sends + this->prefill_sends >= 2 * max_sends)
        return error{this->runs > 0 ? error_kind::endpoint_failed : error_kind::overloaded,
                     "several engines could not take the request", "retry after the given time"};
    return std::nullopt;
}

asio::awaitable<void> model_forwarder::finish(const error& reason)
{
    this->outcome.cause = reason.message;
    // A stream that was begun can only be broken off; its missing end tells the caller.
    if (this->active.canceller.is_caller_disconnected() || this->is_answer_open)
        co_return;
    const bool may_have_run = this->runs > 0;
    const error told = error_for_caller(reason, may_have_run);
    const auto retry_after = retry_after_delay(told.kind, may_have_run, this->active.canceller.time_left());
    http::response refusal = this->context.dialect.refusal(this->active.request.id, told, retry_after);
    this->outcome.status = refusal.status;
    co_await this->active.caller.send(std::move(refusal));
}

} // namespace radishstep::forward
