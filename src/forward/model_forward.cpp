#include "forward/model_forward.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "forward/place_wait.h"
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
    options.connect_time = connect_time;
    options.silence_time = connect_time;
    const auto got = co_await calls.call(std::move(address), std::move(call), std::move(options));
    if (!got)
        count("radishstep_forward_release_failed_total");
}

} // namespace

model_forward::model_forward(forward_context& context, request_in_hand hand)
    : context(context), hand(hand), relay(hand.asked.last_event)
{
}

asio::awaitable<request_outcome> model_forward::run()
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

model_demand model_forward::demand() const
{
    const service* known = this->context.config->find_service(this->hand.service);
    model_demand wanted;
    wanted.service = this->hand.service;
    wanted.prompt_tokens = this->hand.asked.prompt_tokens;
    wanted.memory_tokens = known == nullptr ? 0 : known->memory_tokens;
    return wanted;
}

model_forward::reserved_places model_forward::hold(model_places places)
{
    const model_demand wanted = this->demand();
    endpoint_load decoding;
    decoding.calls = 1;
    decoding.tokens = wanted.prompt_memory();
    decoding.unread = places.prefill || this->read ? 0 : wanted.prompt_tokens;
    reserved_places held;
    held.decoding = std::make_unique<load_guard>(this->context, places.decode.incarnation(), decoding);
    if (places.prefill) {
        endpoint_load reading;
        reading.calls = 1;
        reading.tokens = wanted.prompt_tokens;
        reading.unread = wanted.prompt_tokens;
        held.reading = std::make_unique<load_guard>(this->context, places.prefill->incarnation(), reading);
    }
    held.places = std::move(places);
    return held;
}

asio::awaitable<tl::expected<model_forward::reserved_places, error>> model_forward::reserve()
{
    model_places found;
    place_finder find = [this, &found](const place_search& search) -> std::optional<no_place> {
        auto looked = this->look_for_places(search);
        if (!looked)
            return looked.error();
        found = std::move(*looked);
        return std::nullopt;
    };
    wait_bounds bounds = bounds_of(this->hand, serving_time, longest_wait_objectives);
    if (this->is_answer_open)
        bounds = bounds_of_begun(bounds, runtime_clock::now() + this->hand.watch.left());
    const auto missing = co_await wait_for_place(this->context, this->hand, this->avoided, bounds, std::move(find));
    if (this->hand.watch.is_caller_gone())
        co_return fail(error_kind::caller_gone, "the caller has left", "");
    if (missing)
        co_return tl::unexpected{reason_of(*missing)};
    co_return this->hold(std::move(found));
}

tl::expected<model_places, no_place> model_forward::look_for_places(const place_search& search)
{
    const time_point now = runtime_clock::now();
    if (this->has_kept_prompt())
        return this->context.chooser.choose_decoder(this->demand(), this->read->zone, search, now);
    this->read.reset();
    return this->context.chooser.choose_model(this->demand(), search, now);
}

/// While the prompt was read, the decode engine may have begun to drain, or other hosts may have taken the same
/// place without knowing of each other; the engine would reject whoever comes last. Returns false when the
/// request has to look for another place.
bool model_forward::confirm_engine(reserved_places& reserved)
{
    const time_point now = runtime_clock::now();
    const endpoint before = reserved.places.decode;
    if (!this->context.directory.takes_work(before))
        return false;
    if (!this->has_kept_prompt() || !this->context.chooser.is_overbooked(before, this->demand(), now))
        return true;
    avoided_endpoints others = this->avoided;
    others.insert(before.incarnation());
    const place_search search{others, this->context.draw(), 0, this->context.are_loads_fresh};
    auto found = this->context.chooser.choose_decoder(this->demand(), this->read->zone, search, now);
    log_decision("overbooked", {{"request", this->hand.asked.id},
                                {"endpoint", before.id},
                                {"instead", found ? found->decode.id : "none has room"}});
    if (found)
        reserved = this->hold(std::move(*found));
    return true;
}

std::int64_t model_forward::tokens_per_event() const
{
    const service* known = this->context.config->find_service(this->hand.service);
    return known == nullptr ? 1 : known->tokens_per_event;
}

asio::awaitable<model_forward::next_step> model_forward::serve_at(reserved_places& reserved)
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
    if (this->hand.watch.is_caller_gone())
        co_return next_step::try_again;
    if (!this->confirm_engine(reserved))
        co_return next_step::try_again;
    if (!this->may_send(this->decode_arrivals))
        co_return next_step::done;
    co_return co_await this->decode_at(reserved.places.decode, *reserved.decoding);
}

void model_forward::note_arrival(int& arrivals, bool has_arrived)
{
    if (has_arrived)
        ++arrivals;
    else if (arrivals > 0)
        this->context.budget.give_back(this->hand.service);
}

void model_forward::note_event()
{
    const time_point now = runtime_clock::now();
    if (this->last_event_at) {
        const auto pause = std::chrono::duration_cast<milliseconds>(now - *this->last_event_at);
        this->outcome.longest_pause = std::max(this->outcome.longest_pause, pause);
    } else {
        this->outcome.first_after = std::chrono::duration_cast<milliseconds>(now - this->hand.arrived);
    }
    this->last_event_at = now;
}

http::request model_forward::decode_call_to(const endpoint& at) const
{
    std::optional<prefill_result> source;
    if (this->read)
        source = this->read->result;
    return this->context.dialect.decode_call(this->hand.asked, at, this->hand.watch.left(), source,
                                             this->relay.last_event());
}

void model_forward::log_call(std::string_view what, const endpoint& at, time_point sent,
                             const http::response& answer) const
{
    constexpr unsigned ok = 200;
    if (answer.status == ok && !is_sampled(this->hand.asked.id))
        return;
    const endpoint_load believed = this->context.load.total_at(at.incarnation(), runtime_clock::now());
    log_decision(what, {{"request", this->hand.asked.id},
                        {"endpoint", at.id},
                        {"ms", ms_since(sent)},
                        {"status", std::to_string(answer.status)},
                        {"believed_calls", std::to_string(believed.calls)},
                        {"believed_tokens", std::to_string(believed.tokens)}});
}

void model_forward::log_call(std::string_view what, const endpoint& at, time_point sent, const error& reason) const
{
    log_decision(
        what,
        {{"request", this->hand.asked.id}, {"endpoint", at.id}, {"ms", ms_since(sent)}, {"cause", describe(reason)}});
}

bool model_forward::has_kept_prompt() const
{
    return this->read && runtime_clock::now() < this->read->until;
}

bool model_forward::may_send(int arrivals_before)
{
    if (arrivals_before == 0 || this->context.budget.take(this->hand.service, runtime_clock::now()))
        return true;
    this->refused = error{error_kind::overloaded, "the retry budget is spent", "retry after the given time"};
    return false;
}

asio::awaitable<bool> model_forward::read_prompt(const endpoint& at)
{
    const time_point sent = runtime_clock::now();
    const milliseconds expected = this->context.chooser.reading_time(at, 0, sent);
    const milliseconds usual{
        static_cast<milliseconds::rep>(to_ms(expected) / this->context.health.pace(at.incarnation(), sent))};
    const auto limit = prefill_margin + milliseconds{static_cast<std::int64_t>(to_ms(expected) * prefill_factor)};
    http::call_options options;
    options.connect_time = std::min(connect_time, this->hand.watch.left());
    options.silence_time = std::min(limit, this->hand.watch.left());
    options.abort = this->hand.watch.next_call();
    options.is_ours = [this](const http::response& head) {
        return this->context.dialect.judge(this->hand.asked, head) != answer_kind::foreign;
    };
    ++this->prefill_sends;
    http::request call = this->context.dialect.prefill_call(this->hand.asked, at, this->hand.watch.left());
    auto got = co_await this->context.calls.call(at.address, std::move(call), std::move(options));
    const time_point now = runtime_clock::now();
    if (got)
        this->log_call("prefill_ended", at, sent, *got);
    else
        this->log_call("prefill_failed", at, sent, got.error());
    this->note_arrival(this->prefill_arrivals, got.has_value() || may_have_arrived(got.error().kind));
    if (this->hand.watch.is_caller_gone())
        co_return false;
    if (!got) {
        this->context.note_failure(at.incarnation(), got.error().kind);
        co_return false;
    }
    auto result = this->context.dialect.read_prefill(at, *got);
    if (!result) {
        const answer_kind kind = this->context.dialect.judge(this->hand.asked, *got);
        const bool is_full = kind == answer_kind::not_run;
        if (kind == answer_kind::wrong_endpoint)
            this->context.note_down(at.incarnation());
        else
            this->context.health.record(at.incarnation(), is_full ? call_outcome::rejected : call_outcome::failed, now);
        co_return false;
    }
    this->context.health.record(at.incarnation(), call_outcome::answered, now);
    this->context.health.record_pace(at.incarnation(), to_ms(now - sent) / to_ms(usual), now);
    const service* known = this->context.config->find_service(this->hand.service);
    const milliseconds lifetime = known == nullptr ? milliseconds{0} : known->prefill_lifetime;
    this->read = kept_prompt{std::move(*result), at.zone, now + lifetime - fetch_margin};
    co_return true;
}

asio::awaitable<model_forward::next_step> model_forward::decode_at(const endpoint& at, load_guard& place)
{
    const time_point sent = runtime_clock::now();
    http::call_options options;
    options.connect_time = std::min(connect_time, this->hand.watch.left());
    options.silence_time = this->hand.watch.left();
    if (this->hand.way.is_repeatable)
        options.silence_time = std::min(options.silence_time, silence_of_movable_stream);
    options.fresh_connection = true;
    options.abort = this->hand.watch.next_call();
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
    switch (this->context.dialect.judge(this->hand.asked, (*stream)->head())) {
    case answer_kind::not_run:
        this->context.health.record(at.incarnation(), call_outcome::rejected, now);
        co_return next_step::try_again;
    case answer_kind::wrong_endpoint:
        this->context.note_down(at.incarnation());
        co_return next_step::try_again;
    case answer_kind::foreign:
    case answer_kind::broken:
        this->read.reset();
        ++this->runs;
        this->context.health.record(at.incarnation(), call_outcome::failed, now);
        co_return next_step::try_again;
    case answer_kind::own:
        break;
    }
    this->read.reset();
    ++this->runs;
    if ((*stream)->head().status >= first_failure_status)
        co_return co_await this->pass_failure_on(at, **stream);
    co_return co_await this->pass_on(at, place, **stream);
}

asio::awaitable<model_forward::next_step> model_forward::pass_on(const endpoint& at, load_guard& place,
                                                                 http::body_stream& stream)
{
    if (!this->is_answer_open) {
        this->is_answer_open = true;
        http::response head = this->context.dialect.caller_head(stream.head());
        this->outcome.status = head.status;
        const bool is_begun = co_await this->hand.caller.begin(std::move(head));
        if (!is_begun)
            co_return next_step::try_again;
    }
    this->relay.start_over();
    while (true) {
        auto part = co_await stream.next();
        if (!part)
            co_return this->take_failure(at, part.error());
        const bool is_end = part->empty();
        const int events_before = this->relay.events();
        std::string ready = is_end ? this->relay.take_rest() : this->relay.push(*part);
        place.grow((this->relay.events() - events_before) * this->tokens_per_event());
        if (this->relay.is_broken())
            co_return this->take_failure(at, error{error_kind::protocol, "an event is too long", ""});
        if (!ready.empty()) {
            this->note_event();
            const bool is_written = co_await this->hand.caller.write(std::move(ready));
            if (!is_written)
                co_return next_step::try_again;
        }
        if (is_end)
            break;
    }
    this->context.health.record(at.incarnation(), call_outcome::answered, runtime_clock::now());
    co_await this->hand.caller.finish();
    co_return next_step::done;
}

asio::awaitable<model_forward::next_step> model_forward::pass_failure_on(const endpoint& at, http::body_stream& stream)
{
    this->context.health.record(at.incarnation(), call_outcome::failed, runtime_clock::now());
    if (this->hand.way.is_repeatable && this->runs < this->hand.way.max_endpoints)
        co_return next_step::try_again;
    if (this->is_answer_open)
        co_return next_step::try_again;
    http::response answer = this->context.dialect.caller_head(stream.head());
    while (true) {
        auto part = co_await stream.next();
        if (!part)
            co_return this->take_failure(at, part.error());
        if (part->empty())
            break;
        answer.body += *part;
    }
    this->outcome.status = answer.status;
    co_await this->hand.caller.send(std::move(answer));
    co_return next_step::done;
}

model_forward::next_step model_forward::take_failure(const endpoint& at, const error& reason)
{
    const bool was_sent = may_have_arrived(reason.kind);
    if (was_sent)
        this->read.reset();
    if (was_sent && !this->is_answer_open)
        ++this->runs;
    log_decision("stream_broken", {{"request", this->hand.asked.id},
                                   {"endpoint", at.id},
                                   {"events", std::to_string(this->relay.events())},
                                   {"cause", describe(reason)}});
    if (!this->hand.watch.is_caller_gone())
        this->context.note_failure(at.incarnation(), reason.kind);
    return next_step::try_again;
}

void model_forward::release_prompt()
{
    if (!this->has_kept_prompt())
        return;
    const prefill_result result = this->read->result;
    asio::co_spawn(this->context.executor,
                   call_and_forget(this->context.calls, result.address, this->context.dialect.release_call(result)),
                   asio::detached);
}

std::optional<error> model_forward::reason_to_stop() const
{
    if (this->hand.watch.is_caller_gone())
        return error{error_kind::caller_gone, "the caller has left", ""};
    if (this->runs > 0 && !this->hand.way.is_repeatable)
        return error{error_kind::outcome_unknown, "the engine's stream broke and may not be repeated", ""};
    if (this->runs >= this->hand.way.max_endpoints)
        return error{error_kind::endpoint_failed, "no engine gave a whole stream", ""};
    if (this->hand.watch.left() < least_useful_time)
        return error{this->runs > 0 ? error_kind::deadline_exceeded : error_kind::overloaded,
                     "the time for the request is over", "allow more time"};
    if (this->decode_sends + this->prefill_sends >= 2 * most_sends)
        return error{this->runs > 0 ? error_kind::endpoint_failed : error_kind::overloaded,
                     "several engines could not take the request", "retry after the given time"};
    return std::nullopt;
}

asio::awaitable<void> model_forward::finish(const error& reason)
{
    this->outcome.cause = reason.message;
    // A stream that was begun can only be broken off; its missing end tells the caller.
    if (this->hand.watch.is_caller_gone() || this->is_answer_open)
        co_return;
    const bool may_have_run = this->runs > 0;
    const error told = truthful_reason(reason, may_have_run);
    const auto retry_after = retry_delay(told.kind, may_have_run, this->hand.watch.left());
    http::response refusal = this->context.dialect.refusal(this->hand.asked.id, told, retry_after);
    this->outcome.status = refusal.status;
    co_await this->hand.caller.send(std::move(refusal));
}

} // namespace radishstep::forward
