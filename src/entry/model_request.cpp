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

/// Prompts that agree in so many bytes at the start get the same prefix hash.
constexpr std::size_t prefix_hash_bytes = 256;
/// Reading from the endpoint stops while the caller has not accepted this much of the stream.
constexpr std::size_t max_pending_output_bytes = 64UL * 1024;
/// Added to the idle timeout of a prefill call for each token, as no data arrives until the prefill is done.
constexpr std::chrono::microseconds max_prefill_time_per_token{1'000};

constexpr milliseconds probe_timeout{400};
constexpr milliseconds probe_interval{50};
constexpr int max_probes = 5;
constexpr milliseconds cancel_timeout{1'000};
constexpr milliseconds cancel_retry_delay{200};
constexpr int max_cancel_attempts = 3;
constexpr milliseconds token_time_report_period{200};
constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_unavailable = 503;

double seconds_between(time_point from, time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

std::int64_t round_up_to_seconds(duration span)
{
    return std::chrono::ceil<std::chrono::seconds>(span).count();
}

error stream_error(const result<std::string>& bytes)
{
    return bytes ? error{error_kind::connection_lost, "the stream ended early", ""} : bytes.error();
}

/// Returns died when the endpoint has restarted since the call started, else lost.
call_failure failure_from_status(const std::string& status_json, time_point call_started)
{
    const auto json = nlohmann::json::parse(status_json, nullptr, false);
    if (!json.is_object())
        return call_failure::lost;
    constexpr double unknown_uptime_ms = 1e12;
    const double uptime_ms = json.value("uptime_ms", unknown_uptime_ms);
    const bool has_restarted = uptime_ms < to_ms(runtime_clock::now() - call_started);
    return has_restarted ? call_failure::died : call_failure::lost;
}

call_failure failure_from_http_status(unsigned status)
{
    if (status == status_bad_request)
        return call_failure::rejected;
    return status == status_unavailable ? call_failure::not_reached : call_failure::not_held;
}

/// Uses a timer that never expires as a condition variable: signal.cancel() resumes the waiting coroutine.
asio::awaitable<void> wait_for_signal(timer& signal)
{
    boost::system::error_code ignored;
    signal.expires_at(time_point::max());
    co_await signal.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

model_request::model_request(traffic_context& shared, completion_request completion, const client_config& client,
                             const pool_config& pool)
    : shared(shared), completion(std::move(completion)), client(client), pool(pool),
      request_id(shared.next_request_id()),
      fingerprint(hash64(this->completion.model + "\n" + this->completion.prompt)), arrived_at(runtime_clock::now()),
      output_added(shared.executor), output_written(shared.executor), deadline_timer(shared.executor)
{
    this->identity = {this->request_id, this->completion.model, wall_clock_ms() / 1'000, this->completion.is_chat};
    this->formatter = std::make_unique<answer_event_formatter>(this->identity);
}

asio::awaitable<void> model_request::run(http::reply& reply)
{
    const auto self = this->shared_from_this();
    process_events().record("received", this->request_id,
                            "client=" + this->client.name + " model=" + this->completion.model);
    reply.on_caller_disconnected([weak = this->weak_from_this()] {
        if (const auto locked = weak.lock())
            locked->apply_event(request_event::caller_disconnected{});
    });
    asio::co_spawn(
        this->shared.executor, [self] { return self->wait_for_deadline(); }, asio::detached);
    auto [first_state, effects] = begin_request(attempt_limits{});
    this->state = first_state;
    for (const request_effect::any& effect : effects)
        std::visit([this](const auto& content) { this->perform(content); }, effect);
    co_await this->write_answer(reply);
    this->deadline_timer.cancel();
}

void model_request::apply_event(const request_event::any& event)
{
    auto [next, effects] = step(this->state, event);
    this->state = std::move(next);
    for (const request_effect::any& effect : effects)
        std::visit([this](const auto& content) { this->perform(content); }, effect);
}

void model_request::on_permit_reply(const to_traffic::any& message)
{
    if (const auto* grant = std::get_if<permit_grant>(&message)) {
        observe_seconds("radishstep_permit_wait_seconds", seconds_between(this->arrived_at, runtime_clock::now()),
                        {{"pool", this->pool.name}});
        this->apply_event(request_event::granted{grant->key.attempt, grant->prefill, grant->decode});
    } else if (const auto* refusal = std::get_if<permit_refusal>(&message)) {
        this->retry_after = refusal->retry_after;
        const bool is_poison = refusal->kind == error_kind::poison_request;
        const std::string remedy =
            is_poison ? "do not send it again; report it to the operators" : "send the request again after Retry-After";
        this->apply_event(request_event::refused{refusal->key.attempt,
                                                 error{refusal->kind, "the pool cannot accept the request", remedy}});
    }
}

void model_request::perform(const request_effect::request_permit& effect)
{
    permit_request request;
    request.key = {this->request_id, effect.attempt};
    request.client = this->client.name;
    request.priority = this->attempt_priority(effect.attempt);
    request.prompt_tokens = this->prefill_tokens();
    request.answer_tokens = this->completion.max_tokens - this->state.answered_tokens;
    request.prefix = hash64(std::string_view{this->completion.prompt}.substr(0, prefix_hash_bytes));
    request.fingerprint = this->fingerprint;
    request.patience = this->patience_for(request.priority);
    request.waited = runtime_clock::now() - this->arrived_at;
    request.avoid = effect.avoid;
    process_events().record("permit_asked", this->request_id, "attempt=" + std::to_string(effect.attempt));
    this->shared.permit_callbacks[request.key] = [self = this->shared_from_this()](const to_traffic::any& message) {
        self->on_permit_reply(message);
    };
    if (!this->shared.push_to_control(to_control::request_permit{this->pool.name, request})) {
        const error full{error_kind::overloaded, "this host is overloaded", "send the request again later"};
        this->apply_event(request_event::refused{effect.attempt, full});
    }
}

void model_request::perform(const request_effect::release_permit& effect)
{
    const attempt_timing& timing = this->attempts[effect.attempt];
    permit_release release;
    release.key = {this->request_id, effect.attempt};
    release.prefill_time = timing.prefill_time;
    release.prompt_tokens = estimate_tokens(this->completion.prompt);
    release.tokens = timing.tokens;
    release.decode_time = timing.last_token_at - timing.first_token_at;
    if (timing.tokens > 0)
        release.service_time = timing.first_token_at - timing.prefill_started_at;
    release.failed = effect.failed;
    release.died = effect.died;
    release.fingerprint = this->fingerprint;
    this->shared.permit_callbacks.erase(release.key);
    this->shared.push_to_control(to_control::release_permit{this->pool.name, release});
    process_events().record("permit_released", this->request_id, "attempt=" + std::to_string(effect.attempt));
}

void model_request::perform(const request_effect::report_prefilled& effect)
{
    const attempt_timing& timing = this->attempts[effect.attempt];
    this->shared.push_to_control(
        to_control::report_prefill_done{this->pool.name, {this->request_id, effect.attempt}, timing.prefill_time});
}

void model_request::perform(const request_effect::start_prefill& effect)
{
    process_events().record("prefill_started", this->request_id, effect.endpoint);
    asio::co_spawn(
        this->shared.executor,
        [self = this->shared_from_this(), effect] { return self->run_prefill(effect.attempt, effect.endpoint); },
        asio::detached);
}

void model_request::perform(const request_effect::start_decode& effect)
{
    process_events().record(effect.resume ? "decode_resumed" : "decode_started", this->request_id,
                            effect.endpoint + " offset=" + std::to_string(effect.offset));
    if (effect.resume)
        count("radishstep_stream_resumes_total", {{"pool", this->pool.name}});
    asio::co_spawn(
        this->shared.executor, [self = this->shared_from_this(), effect] { return self->run_decode(effect); },
        asio::detached);
}

void model_request::perform(const request_effect::cancel_endpoint_job& effect)
{
    process_events().record("cancelled", this->request_id, effect.endpoint);
    const auto running = this->running_calls.find(effect.attempt);
    if (running != this->running_calls.end())
        running->second->abort();
    asio::co_spawn(
        this->shared.executor,
        [self = this->shared_from_this(), effect] { return self->cancel_job(effect.attempt, effect.endpoint); },
        asio::detached);
}

void model_request::perform(const request_effect::relay_token& effect)
{
    this->record_token(this->state.attempt);
    if (this->completion.is_stream)
        this->pending_output += this->formatter->format(effect.text);
    else
        this->answer_text += effect.text;
    ++this->output_tokens;
    this->output_added.cancel();
}

void model_request::perform(const request_effect::finish_answer& effect)
{
    process_events().record("answered", this->request_id, "tokens=" + std::to_string(effect.total_tokens));
    this->count_outcome("answered");
    this->is_finished = true;
    this->output_added.cancel();
}

void model_request::perform(const request_effect::refuse_request& effect)
{
    const std::string kind{to_string(effect.reason.kind)};
    process_events().record("refused", this->request_id, kind + (effect.may_have_run ? " may_have_run" : " not_run"));
    this->count_outcome(kind);
    this->refusal = effect.reason;
    this->may_have_run = effect.may_have_run;
    this->is_refused = true;
    this->output_added.cancel();
    this->output_written.cancel();
}

asio::awaitable<void> model_request::run_prefill(int attempt, std::string endpoint)
{
    const time_point started = runtime_clock::now();
    this->attempts[attempt].prefill_started_at = started;
    http::request call = this->make_prefill_call(attempt);
    http::call_options options = this->make_call_options(attempt);
    options.idle_timeout += std::chrono::ceil<milliseconds>(this->prefill_tokens() * max_prefill_time_per_token);
    // A call that is repeated within an attempt uses a new connection.
    options.fresh_connection = this->state.resumes_left < attempt_limits{}.resumes_per_attempt;
    const std::string address = this->shared.find_endpoint_address(endpoint);
    const auto response = co_await this->shared.http_client.call(address, std::move(call), options);
    if (this->state.phase != request_phase::prefilling || this->state.attempt != attempt)
        co_return;
    if (response && response->status == status_ok) {
        this->attempts[attempt].prefill_time = runtime_clock::now() - started;
        this->apply_event(request_event::prefilled{attempt});
        co_return;
    }
    call_failure failure = call_failure::lost;
    if (response)
        failure = failure_from_http_status(response->status);
    else
        failure = co_await this->classify_failure(response.error(), endpoint, started);
    process_events().record("prefill_failed", this->request_id, endpoint + " " + std::string{to_string(failure)});
    count("radishstep_endpoint_failures_total", {{"endpoint", endpoint}, {"failure", std::string{to_string(failure)}}});
    this->apply_event(request_event::prefill_failed{attempt, failure});
}

asio::awaitable<void> model_request::run_decode(request_effect::start_decode effect)
{
    const time_point started = runtime_clock::now();
    http::request call = this->make_decode_call(effect);
    http::call_options options = this->make_call_options(effect.attempt);
    options.fresh_connection = effect.resume;
    const std::string address = this->shared.find_endpoint_address(effect.endpoint);
    auto stream = co_await this->shared.http_client.open(address, std::move(call), options);
    if (this->state.phase != request_phase::decoding || this->state.attempt != effect.attempt)
        co_return;
    if (stream && (*stream)->head().status == status_ok) {
        co_await this->read_stream(effect.attempt, std::move(*stream), effect.endpoint, started);
        co_return;
    }
    call_failure failure = call_failure::lost;
    if (stream)
        failure = failure_from_http_status((*stream)->head().status);
    else
        failure = co_await this->classify_failure(stream.error(), effect.endpoint, started);
    process_events().record("decode_failed", this->request_id, effect.endpoint + " " + std::string{to_string(failure)});
    this->apply_event(request_event::decode_failed{effect.attempt, failure});
}

asio::awaitable<void> model_request::read_stream(int attempt, std::unique_ptr<http::body_stream> stream,
                                                 const std::string& endpoint, time_point started)
{
    http::event_stream_reader reader;
    while (this->state.phase == request_phase::decoding && this->state.attempt == attempt) {
        const auto bytes = co_await stream->next();
        const bool is_broken = !bytes || bytes->empty() || reader.has_failed();
        if (is_broken) {
            if (this->state.phase != request_phase::decoding || this->state.attempt != attempt)
                co_return;
            const call_failure failure = co_await this->classify_failure(stream_error(bytes), endpoint, started);
            process_events().record("decode_failed", this->request_id,
                                    endpoint + " " + std::string{to_string(failure)});
            count("radishstep_endpoint_failures_total",
                  {{"endpoint", endpoint}, {"failure", std::string{to_string(failure)}}});
            this->apply_event(request_event::decode_failed{attempt, failure});
            co_return;
        }
        for (const http::server_sent_event& event : reader.push(*bytes))
            this->on_stream_event(attempt, event);
        if (this->pending_output.size() > max_pending_output_bytes)
            co_await this->wait_for_output_space();
    }
}

asio::awaitable<call_failure> model_request::classify_failure(error failure, std::string endpoint, time_point started)
{
    if (!may_have_arrived(failure.kind))
        co_return call_failure::not_reached;
    // A process that is shutting down may still accept a connection and drop it, so a lost connection is probed again.
    for (int i = 0; i < max_probes; ++i) {
        http::call_options options;
        options.connect_timeout = probe_timeout;
        options.idle_timeout = probe_timeout;
        options.fresh_connection = true;
        http::request status_request = http::get_request("/v1/status");
        const std::string address = this->shared.find_endpoint_address(endpoint);
        const auto response = co_await this->shared.http_client.call(address, std::move(status_request), options);
        if (response && response->status == status_ok)
            co_return failure_from_status(response->body, started);
        if (response)
            co_return call_failure::lost;
        if (!may_have_arrived(response.error().kind))
            co_return call_failure::died;
        if (response.error().kind == error_kind::timed_out)
            co_return call_failure::lost;
        co_await pause_for(probe_interval);
    }
    co_return call_failure::lost;
}

asio::awaitable<void> model_request::cancel_job(int attempt, std::string endpoint)
{
    // If all attempts fail, the broker cancels the job once the endpoint reports a job without a permit.
    for (int i = 0; i < max_cancel_attempts; ++i) {
        http::request call = this->make_cancel_call(attempt);
        http::call_options options;
        options.idle_timeout = cancel_timeout;
        options.fresh_connection = i > 0;
        const auto response = co_await this->shared.http_client.call(this->shared.find_endpoint_address(endpoint),
                                                                     std::move(call), options);
        if (response && response->status == status_ok)
            co_return;
        co_await pause_for(cancel_retry_delay);
    }
    count("radishstep_cancels_failed_total", {{"endpoint", endpoint}});
}

asio::awaitable<void> model_request::wait_for_deadline()
{
    this->deadline_timer.expires_after(this->pool.request_deadline);
    boost::system::error_code stopped;
    co_await this->deadline_timer.async_wait(asio::redirect_error(asio::use_awaitable, stopped));
    if (!stopped)
        this->apply_event(request_event::deadline_passed{});
}

asio::awaitable<void> model_request::write_answer(http::reply& reply)
{
    while (true) {
        const bool is_over = this->is_finished || this->is_refused;
        const bool has_output = this->completion.is_stream && !this->pending_output.empty();
        if (has_output) {
            std::string part = std::exchange(this->pending_output, {});
            bool is_delivered = true;
            if (!this->is_head_sent)
                is_delivered = co_await this->send_head(reply);
            if (is_delivered)
                is_delivered = co_await reply.write(std::move(part));
            this->output_written.cancel();
            if (!is_delivered) {
                this->apply_event(request_event::caller_disconnected{});
                co_return;
            }
            continue;
        }
        if (is_over)
            break;
        co_await wait_for_signal(this->output_added);
    }
    co_await this->write_end(reply);
}

asio::awaitable<bool> model_request::send_head(http::reply& reply)
{
    this->is_head_sent = true;
    http::response head = http::event_stream_head();
    head.lines.push_back({"X-Request-Id", this->request_id});
    const bool is_delivered = co_await reply.begin(std::move(head));
    co_return is_delivered;
}

asio::awaitable<void> model_request::write_end(http::reply& reply)
{
    if (this->is_refused && this->refusal.kind == error_kind::caller_gone)
        co_return;
    if (this->is_refused && !this->is_head_sent) {
        http::response response = refusal_response(this->refusal, this->may_have_run, this->request_id,
                                                   round_up_to_seconds(this->retry_after));
        co_await reply.send(std::move(response));
        co_return;
    }
    if (this->is_refused) {
        std::string event = "event: error\ndata: " + refusal_json(this->refusal, true, this->request_id) + "\n\n";
        if (co_await reply.write(std::move(event)))
            co_await reply.finish();
        co_return;
    }
    if (this->completion.is_stream) {
        if (!this->is_head_sent)
            co_await this->send_head(reply);
        if (co_await reply.write(final_events(this->identity)))
            co_await reply.finish();
        co_return;
    }
    http::response response = http::json_response(status_ok, answer_json(this->identity, this->answer_text,
                                                                         estimate_tokens(this->completion.prompt),
                                                                         this->state.answered_tokens));
    response.lines.push_back({"X-Request-Id", this->request_id});
    co_await reply.send(std::move(response));
}

asio::awaitable<void> model_request::wait_for_output_space()
{
    while (this->pending_output.size() > max_pending_output_bytes && !this->is_refused)
        co_await wait_for_signal(this->output_written);
}

client_priority model_request::attempt_priority(int attempt) const
{
    if (attempt > 1)
        return client_priority::resumed;
    const bool is_batch = this->completion.is_batch || this->client.priority == client_priority::batch;
    return is_batch ? client_priority::batch : client_priority::interactive;
}

runtime_clock::duration model_request::patience_for(client_priority priority) const
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

int model_request::prefill_tokens() const
{
    return estimate_tokens(this->completion.prompt) + this->state.answered_tokens;
}

void model_request::on_stream_event(int attempt, const http::server_sent_event& event)
{
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    if (event.event == "end" && json.is_object()) {
        this->apply_event(request_event::answer_ended{attempt, json.value("tokens", 0)});
        return;
    }
    const auto offset = to_integer(event.id);
    if (offset && json.is_string())
        this->apply_event(request_event::token_arrived{attempt, static_cast<int>(*offset), json.get<std::string>()});
}

void model_request::record_token(int attempt)
{
    const time_point now = runtime_clock::now();
    attempt_timing& timing = this->attempts[attempt];
    const bool is_first_of_answer = this->state.answered_tokens == 1;
    if (is_first_of_answer) {
        process_events().record("first_token", this->request_id, "");
        observe_seconds("radishstep_first_token_seconds", seconds_between(this->arrived_at, now),
                        {{"pool", this->pool.name}});
    }
    if (timing.tokens == 0) {
        timing.first_token_at = now;
        this->last_token_time_report_at = now;
        this->tokens_since_report = 0;
    }
    timing.last_token_at = now;
    ++timing.tokens;
    ++this->tokens_since_report;
    this->report_token_time(timing);
}

void model_request::report_token_time(const attempt_timing& timing)
{
    const duration elapsed = timing.last_token_at - this->last_token_time_report_at;
    if (elapsed < token_time_report_period || this->tokens_since_report < 2)
        return;
    this->shared.push_to_control(
        to_control::report_token_time{this->pool.name, this->state.decode, elapsed / this->tokens_since_report});
    this->last_token_time_report_at = timing.last_token_at;
    this->tokens_since_report = 0;
}

void model_request::count_outcome(const std::string& outcome)
{
    count("radishstep_requests_total", {{"pool", this->pool.name}, {"outcome", outcome}});
}

http::call_options model_request::make_call_options(int attempt)
{
    auto& abort = this->running_calls[attempt];
    abort = std::make_shared<http::call_abort>();
    http::call_options options;
    options.idle_timeout = this->shared.settings.idle_timeout;
    options.abort = abort;
    return options;
}

http::request model_request::make_prefill_call(int attempt) const
{
    const nlohmann::json body{{"job", this->attempt_job(attempt)},
                              {"prompt", this->completion.prompt},
                              {"answered_tokens", this->state.answered_tokens},
                              {"max_tokens", this->completion.max_tokens}};
    return http::json_request("POST", "/v1/prefill", body.dump());
}

http::request model_request::make_decode_call(const request_effect::start_decode& effect) const
{
    const nlohmann::json body{{"job", this->attempt_job(effect.attempt)},
                              {"prompt", this->completion.prompt},
                              {"source", this->shared.find_endpoint_address(effect.source)},
                              {"offset", effect.offset},
                              {"resume", effect.resume},
                              {"max_tokens", this->completion.max_tokens}};
    return http::json_request("POST", "/v1/decode", body.dump());
}

http::request model_request::make_cancel_call(int attempt) const
{
    const nlohmann::json body{{"job", this->attempt_job(attempt)}};
    return http::json_request("POST", "/v1/cancel", body.dump());
}

std::string model_request::attempt_job(int attempt) const
{
    return job_name({this->request_id, attempt});
}

} // namespace radishstep
