#include "entry/model_request.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "base/text.h"
#include "entry/traffic_context.h"
#include "http/event_stream.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

using duration = runtime_clock::duration;

constexpr std::size_t prefix_bytes = 256;
constexpr std::size_t max_outbox_bytes = 64UL * 1024;
/// A prefill call may be silent for so long for each token that it reads.
constexpr std::chrono::microseconds longest_prefill_token{1'000};

constexpr milliseconds classify_time{400};
constexpr milliseconds classify_pause{50};
constexpr int classify_tries = 5;
constexpr milliseconds cancel_time{1'000};
constexpr milliseconds cancel_pause{200};
constexpr int cancel_tries = 3;
constexpr milliseconds pace_period{200};
constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unavailable = 503;

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

std::int64_t whole_seconds_up(duration span)
{
    return std::chrono::ceil<std::chrono::seconds>(span).count();
}

error cause_of_break(const result<std::string>& bytes)
{
    return bytes ? error{error_kind::connection_lost, "the stream ended early", ""} : bytes.error();
}

/// Returns died when the endpoint started again after the call did.
call_failure failure_by_status_page(const std::string& page, time_point call_started)
{
    const auto json = nlohmann::json::parse(page, nullptr, false);
    if (!json.is_object())
        return call_failure::lost;
    constexpr double long_ago_ms = 1e12;
    const double uptime_ms = json.value("uptime_ms", long_ago_ms);
    const bool has_restarted = uptime_ms < to_ms(runtime_clock::now() - call_started);
    return has_restarted ? call_failure::died : call_failure::lost;
}

call_failure failure_of_status(unsigned status)
{
    if (status == status_bad_request)
        return call_failure::rejected;
    return status == status_unavailable ? call_failure::not_reached : call_failure::not_held;
}

asio::awaitable<void> wait_on(timer& signal)
{
    boost::system::error_code ignored;
    signal.expires_at(time_point::max());
    co_await signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

model_request::model_request(traffic_context& shared, completion_request wanted, const client_config& client,
                             const pool_config& pool)
    : shared(shared), asked(std::move(wanted)), client(client), pool(pool), name(shared.next_request()),
      fingerprint(hash64(this->asked.model + "\n" + this->asked.prompt)), arrived(runtime_clock::now()),
      outbox_filled(shared.executor), outbox_drained(shared.executor), deadline(shared.executor)
{
    this->identity = {this->name, this->asked.model, wall_clock_ms() / 1'000, this->asked.chat};
    this->parts = std::make_unique<part_formatter>(this->identity);
}

asio::awaitable<void> model_request::run(http::reply& reply)
{
    const auto self = this->shared_from_this();
    process_events().record("received", this->name, "client=" + this->client.name + " model=" + this->asked.model);
    reply.on_caller_disconnected([weak = this->weak_from_this()] {
        if (const auto request = weak.lock())
            request->take(request_event::caller_disconnected{});
    });
    asio::co_spawn(
        this->shared.executor, [self] { return self->watch_deadline(); }, asio::detached);
    auto [first_state, effects] = begin_request(attempt_limits{});
    this->state = first_state;
    for (const request_effect::any& effect : effects)
        std::visit([this](const auto& content) { this->perform(content); }, effect);
    co_await this->write_answer(reply);
    this->deadline.cancel();
}

void model_request::take(const request_event::any& event)
{
    auto [next, effects] = step(this->state, event);
    this->state = std::move(next);
    for (const request_effect::any& effect : effects)
        std::visit([this](const auto& content) { this->perform(content); }, effect);
}

void model_request::on_control(const to_traffic::any& message)
{
    if (const auto* grant = std::get_if<permit_grant>(&message)) {
        observe_seconds("radishstep_permit_wait_seconds", seconds_between(this->arrived, runtime_clock::now()),
                        {{"pool", this->pool.name}});
        this->take(request_event::granted{grant->key.attempt, grant->prefill, grant->decode});
    } else if (const auto* refusal = std::get_if<permit_refusal>(&message)) {
        this->retry_after = refusal->retry_after;
        const bool is_poison = refusal->kind == error_kind::poison_request;
        const std::string remedy =
            is_poison ? "do not send it again; report it to the operators" : "send the request again after Retry-After";
        this->take(request_event::refused{refusal->key.attempt,
                                          error{refusal->kind, "the pool cannot take the request", remedy}});
    }
}

void model_request::perform(const request_effect::request_permit& effect)
{
    permit_request wish;
    wish.key = {this->name, effect.attempt};
    wish.client = this->client.name;
    wish.priority = this->priority_of(effect.attempt);
    wish.prompt_tokens = this->wish_tokens();
    wish.answer_tokens = this->asked.max_tokens - this->state.answered_tokens;
    wish.prefix = hash64(std::string_view{this->asked.prompt}.substr(0, prefix_bytes));
    wish.fingerprint = this->fingerprint;
    wish.patience = this->patience_of(wish.priority);
    wish.waited = runtime_clock::now() - this->arrived;
    wish.avoid = effect.avoid;
    process_events().record("permit_asked", this->name, "attempt=" + std::to_string(effect.attempt));
    this->shared.waiting[wish.key] = [self = this->shared_from_this()](const to_traffic::any& message) {
        self->on_control(message);
    };
    if (!this->shared.tell(to_control::ask{this->pool.name, wish})) {
        const error full{error_kind::overloaded, "this host is overloaded", "send the request again later"};
        this->take(request_event::refused{effect.attempt, full});
    }
}

void model_request::perform(const request_effect::release_permit& effect)
{
    const attempt_times& times = this->attempts[effect.attempt];
    permit_release done;
    done.key = {this->name, effect.attempt};
    done.prefill_time = times.prefill_time;
    done.prompt_tokens = estimate_tokens(this->asked.prompt);
    done.tokens = times.tokens;
    done.decode_time = times.last_token - times.first_token;
    if (times.tokens > 0)
        done.service_time = times.first_token - times.prefill_started;
    done.failed = effect.failed;
    done.died = effect.died;
    done.fingerprint = this->fingerprint;
    this->shared.waiting.erase(done.key);
    this->shared.tell(to_control::release{this->pool.name, done});
    process_events().record("permit_released", this->name, "attempt=" + std::to_string(effect.attempt));
}

void model_request::perform(const request_effect::report_prefilled& effect)
{
    const attempt_times& times = this->attempts[effect.attempt];
    this->shared.tell(to_control::prefilled{this->pool.name, {this->name, effect.attempt}, times.prefill_time});
}

void model_request::perform(const request_effect::start_prefill& effect)
{
    process_events().record("prefill_started", this->name, effect.endpoint);
    asio::co_spawn(
        this->shared.executor,
        [self = this->shared_from_this(), effect] { return self->prefill(effect.attempt, effect.endpoint); },
        asio::detached);
}

void model_request::perform(const request_effect::start_decode& effect)
{
    process_events().record(effect.resume ? "decode_resumed" : "decode_started", this->name,
                            effect.endpoint + " offset=" + std::to_string(effect.offset));
    if (effect.resume)
        count("radishstep_stream_resumes_total", {{"pool", this->pool.name}});
    asio::co_spawn(
        this->shared.executor, [self = this->shared_from_this(), effect] { return self->decode(effect); },
        asio::detached);
}

void model_request::perform(const request_effect::cancel_endpoint_job& effect)
{
    process_events().record("cancelled", this->name, effect.endpoint);
    const auto running = this->calls.find(effect.attempt);
    if (running != this->calls.end())
        running->second->abort();
    asio::co_spawn(
        this->shared.executor,
        [self = this->shared_from_this(), effect] { return self->cancel(effect.attempt, effect.endpoint); },
        asio::detached);
}

void model_request::perform(const request_effect::relay_token& effect)
{
    this->note_token(this->state.attempt);
    if (this->asked.stream)
        this->outbox += this->parts->event(effect.text);
    else
        this->answer += effect.text;
    ++this->outbox_tokens;
    this->outbox_filled.cancel();
}

void model_request::perform(const request_effect::finish_answer& effect)
{
    process_events().record("answered", this->name, "tokens=" + std::to_string(effect.total_tokens));
    this->count_outcome("answered");
    this->finished = true;
    this->outbox_filled.cancel();
}

void model_request::perform(const request_effect::refuse_request& effect)
{
    const std::string kind{to_string(effect.reason.kind)};
    process_events().record("refused", this->name, kind + (effect.may_have_run ? " may_have_run" : " not_run"));
    this->count_outcome(kind);
    this->refusal = effect.reason;
    this->may_have_run = effect.may_have_run;
    this->refused = true;
    this->outbox_filled.cancel();
    this->outbox_drained.cancel();
}

asio::awaitable<void> model_request::prefill(int attempt, std::string endpoint)
{
    const time_point started = runtime_clock::now();
    this->attempts[attempt].prefill_started = started;
    http::request order = this->prefill_order(attempt);
    http::call_options options = this->stream_call(attempt);
    options.idle_timeout += std::chrono::ceil<milliseconds>(this->wish_tokens() * longest_prefill_token);
    options.fresh_connection = this->state.resumes_left < attempt_limits{}.resumes_per_attempt;
    const std::string address = this->shared.address_of(endpoint);
    const auto done = co_await this->shared.calls.call(address, std::move(order), options);
    if (this->state.phase != request_phase::prefilling || this->state.attempt != attempt)
        co_return;
    if (done && done->status == status_ok) {
        this->attempts[attempt].prefill_time = runtime_clock::now() - started;
        this->take(request_event::prefilled{attempt});
        co_return;
    }
    call_failure failure = call_failure::lost;
    if (done)
        failure = failure_of_status(done->status);
    else
        failure = co_await this->classify(done.error(), endpoint, started);
    process_events().record("prefill_failed", this->name, endpoint + " " + std::string{to_string(failure)});
    count("radishstep_endpoint_failures_total", {{"endpoint", endpoint}, {"failure", std::string{to_string(failure)}}});
    this->take(request_event::prefill_failed{attempt, failure});
}

asio::awaitable<void> model_request::decode(request_effect::start_decode order)
{
    const time_point started = runtime_clock::now();
    http::request call = this->decode_order(order);
    http::call_options options = this->stream_call(order.attempt);
    options.fresh_connection = order.resume;
    const std::string address = this->shared.address_of(order.endpoint);
    auto stream = co_await this->shared.calls.open(address, std::move(call), options);
    if (this->state.phase != request_phase::decoding || this->state.attempt != order.attempt)
        co_return;
    if (stream && (*stream)->head().status == status_ok) {
        co_await this->read_stream(order.attempt, std::move(*stream), order.endpoint, started);
        co_return;
    }
    call_failure failure = call_failure::lost;
    if (stream)
        failure = failure_of_status((*stream)->head().status);
    else
        failure = co_await this->classify(stream.error(), order.endpoint, started);
    process_events().record("decode_failed", this->name, order.endpoint + " " + std::string{to_string(failure)});
    this->take(request_event::decode_failed{order.attempt, failure});
}

asio::awaitable<void> model_request::read_stream(int attempt, std::unique_ptr<http::body_stream> stream,
                                                 const std::string& endpoint, time_point started)
{
    http::event_stream_reader reader;
    while (this->state.phase == request_phase::decoding && this->state.attempt == attempt) {
        const auto bytes = co_await stream->next();
        const bool broke = !bytes || bytes->empty() || reader.has_failed();
        if (broke) {
            if (this->state.phase != request_phase::decoding || this->state.attempt != attempt)
                co_return;
            const call_failure failure = co_await this->classify(cause_of_break(bytes), endpoint, started);
            process_events().record("decode_failed", this->name, endpoint + " " + std::string{to_string(failure)});
            count("radishstep_endpoint_failures_total",
                  {{"endpoint", endpoint}, {"failure", std::string{to_string(failure)}}});
            this->take(request_event::decode_failed{attempt, failure});
            co_return;
        }
        for (const http::server_sent_event& event : reader.push(*bytes))
            this->take_stream_event(attempt, event);
        if (this->outbox.size() > max_outbox_bytes)
            co_await this->wait_for_room();
    }
}

asio::awaitable<call_failure> model_request::classify(error failure, std::string endpoint, time_point started)
{
    if (!may_have_arrived(failure.kind))
        co_return call_failure::not_reached;
    // A process that is ending may still take a connection and drop it; ask again until it is clear.
    for (int i = 0; i < classify_tries; ++i) {
        http::call_options options;
        options.connect_timeout = classify_time;
        options.idle_timeout = classify_time;
        options.fresh_connection = true;
        http::request question = http::get_request("/v1/status");
        const std::string address = this->shared.address_of(endpoint);
        const auto answer = co_await this->shared.calls.call(address, std::move(question), options);
        if (answer)
            co_return failure_by_status_page(answer->body, started);
        if (!may_have_arrived(answer.error().kind))
            co_return call_failure::died;
        if (answer.error().kind == error_kind::timed_out)
            co_return call_failure::lost;
        co_await pause_for(classify_pause);
    }
    co_return call_failure::lost;
}

asio::awaitable<void> model_request::cancel(int attempt, std::string endpoint)
{
    // What these tries miss, the broker finds when it next asks the endpoint what it holds.
    for (int i = 0; i < cancel_tries; ++i) {
        http::request order = this->cancel_order(attempt);
        http::call_options options;
        options.idle_timeout = cancel_time;
        options.fresh_connection = i > 0;
        const auto answer =
            co_await this->shared.calls.call(this->shared.address_of(endpoint), std::move(order), options);
        if (answer && answer->status == status_ok)
            co_return;
        co_await pause_for(cancel_pause);
    }
    count("radishstep_cancels_failed_total", {{"endpoint", endpoint}});
}

asio::awaitable<void> model_request::watch_deadline()
{
    this->deadline.expires_after(this->pool.request_deadline);
    boost::system::error_code stopped;
    co_await this->deadline.async_wait(asio::redirect_error(asio::use_awaitable, stopped));
    if (!stopped)
        this->take(request_event::deadline_passed{});
}

asio::awaitable<void> model_request::write_answer(http::reply& reply)
{
    while (true) {
        const bool is_over = this->finished || this->refused;
        const bool has_part = this->asked.stream && !this->outbox.empty();
        if (has_part) {
            std::string part = std::exchange(this->outbox, {});
            bool arrived_there = true;
            if (!this->head_sent)
                arrived_there = co_await this->send_head(reply);
            if (arrived_there)
                arrived_there = co_await reply.write(std::move(part));
            this->outbox_drained.cancel();
            if (!arrived_there) {
                this->take(request_event::caller_disconnected{});
                co_return;
            }
            continue;
        }
        if (is_over)
            break;
        co_await wait_on(this->outbox_filled);
    }
    co_await this->write_end(reply);
}

asio::awaitable<bool> model_request::send_head(http::reply& reply)
{
    this->head_sent = true;
    http::response head = http::event_stream_head();
    head.lines.push_back({"X-Request-Id", this->name});
    const bool arrived_there = co_await reply.begin(std::move(head));
    co_return arrived_there;
}

asio::awaitable<void> model_request::write_end(http::reply& reply)
{
    if (this->refused && this->refusal.kind == error_kind::caller_gone)
        co_return;
    if (this->refused && !this->head_sent) {
        http::response refused_call =
            refusal_response(this->refusal, this->may_have_run, this->name, whole_seconds_up(this->retry_after));
        co_await reply.send(std::move(refused_call));
        co_return;
    }
    if (this->refused) {
        std::string event = "event: error\ndata: " + refusal_json(this->refusal, true, this->name) + "\n\n";
        if (co_await reply.write(std::move(event)))
            co_await reply.finish();
        co_return;
    }
    if (this->asked.stream) {
        if (!this->head_sent)
            co_await this->send_head(reply);
        if (co_await reply.write(end_events(this->identity)))
            co_await reply.finish();
        co_return;
    }
    http::response whole = http::json_response(status_ok, whole_answer_json(this->identity, this->answer,
                                                                            estimate_tokens(this->asked.prompt),
                                                                            this->state.answered_tokens));
    whole.lines.push_back({"X-Request-Id", this->name});
    co_await reply.send(std::move(whole));
}

asio::awaitable<void> model_request::wait_for_room()
{
    while (this->outbox.size() > max_outbox_bytes && !this->refused)
        co_await wait_on(this->outbox_drained);
}

client_priority model_request::priority_of(int attempt) const
{
    if (attempt > 1)
        return client_priority::resumed;
    const bool is_batch = this->asked.batch || this->client.priority == client_priority::batch;
    return is_batch ? client_priority::batch : client_priority::interactive;
}

runtime_clock::duration model_request::patience_of(client_priority priority) const
{
    switch (priority) {
    case client_priority::resumed:
        return this->pool.request_deadline;
    case client_priority::interactive:
        return this->pool.first_token_target;
    case client_priority::batch:
        break;
    }
    return this->pool.batch_patience;
}

int model_request::wish_tokens() const
{
    return estimate_tokens(this->asked.prompt) + this->state.answered_tokens;
}

void model_request::take_stream_event(int attempt, const http::server_sent_event& event)
{
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    if (event.event == "end" && json.is_object()) {
        this->take(request_event::answer_ended{attempt, json.value("tokens", 0)});
        return;
    }
    const auto offset = to_integer(event.id);
    if (offset && json.is_string())
        this->take(request_event::token_arrived{attempt, static_cast<int>(*offset), json.get<std::string>()});
}

void model_request::note_token(int attempt)
{
    const time_point now = runtime_clock::now();
    attempt_times& times = this->attempts[attempt];
    const bool is_first_of_answer = this->state.answered_tokens == 1;
    if (is_first_of_answer) {
        process_events().record("first_token", this->name, "");
        observe_seconds("radishstep_first_token_seconds", seconds_between(this->arrived, now),
                        {{"pool", this->pool.name}});
    }
    if (times.tokens == 0) {
        times.first_token = now;
        this->last_pace_report = now;
        this->tokens_since_report = 0;
    }
    times.last_token = now;
    ++times.tokens;
    ++this->tokens_since_report;
    this->report_pace(times);
}

void model_request::report_pace(const attempt_times& times)
{
    const duration since = times.last_token - this->last_pace_report;
    if (since < pace_period || this->tokens_since_report < 2)
        return;
    this->shared.tell(to_control::pace{this->pool.name, this->state.decode, since / this->tokens_since_report});
    this->last_pace_report = times.last_token;
    this->tokens_since_report = 0;
}

void model_request::count_outcome(const std::string& outcome)
{
    count("radishstep_requests_total", {{"pool", this->pool.name}, {"outcome", outcome}});
}

http::call_options model_request::stream_call(int attempt)
{
    auto& abort = this->calls[attempt];
    abort = std::make_shared<http::call_abort>();
    http::call_options options;
    options.idle_timeout = this->shared.settings.idle_timeout;
    options.abort = abort;
    return options;
}

http::request model_request::prefill_order(int attempt) const
{
    const nlohmann::json body{{"job", this->job_of(attempt)},
                              {"prompt", this->asked.prompt},
                              {"answered_tokens", this->state.answered_tokens},
                              {"max_tokens", this->asked.max_tokens}};
    return http::json_request("POST", "/v1/prefill", body.dump());
}

http::request model_request::decode_order(const request_effect::start_decode& order) const
{
    const nlohmann::json body{{"job", this->job_of(order.attempt)},
                              {"prompt", this->asked.prompt},
                              {"source", this->shared.address_of(order.source)},
                              {"offset", order.offset},
                              {"resume", order.resume},
                              {"max_tokens", this->asked.max_tokens}};
    return http::json_request("POST", "/v1/decode", body.dump());
}

http::request model_request::cancel_order(int attempt) const
{
    const nlohmann::json body{{"job", this->job_of(attempt)}};
    return http::json_request("POST", "/v1/cancel", body.dump());
}

std::string model_request::job_of(int attempt) const
{
    return job_name({this->name, attempt});
}

} // namespace radishstep
