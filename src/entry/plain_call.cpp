#include "entry/plain_call.h"

#include <deque>
#include <memory>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/metrics.h"
#include "entry/completion_api.h"
#include "entry/traffic_context.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

/// Answers with a larger body are not recorded: their claim stays in progress, and a repeated call gets duplicate_call.
constexpr std::size_t max_recorded_body_bytes = 256UL * 1024;
constexpr std::int64_t retry_after_refusal_s = 1;

/// How long an answer is delayed at most until its outcome is written; the write continues after that.
constexpr milliseconds max_record_wait{250};

plain_call_event::any make_answered_event(const http::response& response)
{
    return plain_call_event::answered{response.status, std::string{http::find_header(response.lines, "Content-Type")},
                                      response.body};
}

plain_call_event::any make_failed_event(const std::string& endpoint, bool was_sent)
{
    return plain_call_event::call_failed{endpoint, was_sent};
}

bool is_retryable(error_kind kind)
{
    return kind == error_kind::claim_unavailable || kind == error_kind::no_endpoint;
}

} // namespace

plain_call::plain_call(traffic_context& shared, const http::request& request, const client_config& client,
                       const service_config& service)
    : shared(shared), request(request), client(client), service(service), request_id(shared.next_request_id()),
      idempotency_key(http::find_header(request.lines, "Idempotency-Key")),
      fingerprint(sha256_hex(request.method + "\n" + request.target + "\n" + request.body.text())),
      arrived_at(runtime_clock::now())
{
}

bool plain_call::is_non_idempotent() const
{
    return !this->idempotency_key.empty();
}

asio::awaitable<void> plain_call::run(http::reply& reply)
{
    process_events().record("received", this->request_id,
                            "client=" + this->client.name + " service=" + this->service.name);
    auto [state, effects] = begin_plain_call(this->is_non_idempotent(), this->fingerprint);
    std::deque<plain_call_effect::any> pending{effects.begin(), effects.end()};
    while (!pending.empty()) {
        const plain_call_effect::any effect = std::move(pending.front());
        pending.pop_front();
        const std::optional<plain_call_event::any> event = co_await this->perform(effect, reply);
        if (!event)
            continue;
        auto [next, more] = step(state, *event);
        state = std::move(next);
        pending.insert(pending.end(), more.begin(), more.end());
    }
    const double seconds = std::chrono::duration<double>(runtime_clock::now() - this->arrived_at).count();
    observe_seconds("radishstep_plain_call_seconds", seconds, {{"service", this->service.name}});
}

plain_call::next_event plain_call::perform(const plain_call_effect::any& effect, http::reply& reply)
{
    if (std::holds_alternative<plain_call_effect::create_claim>(effect)) {
        claim_request claim = this->make_claim_request();
        co_return co_await this->shared.claims.claim(std::move(claim));
    }
    if (const auto* call = std::get_if<plain_call_effect::call_endpoint>(&effect))
        co_return co_await this->call_endpoint(call->avoid);
    if (const auto* record = std::get_if<plain_call_effect::record_outcome>(&effect))
        co_await this->record_outcome(record->record);
    else if (const auto* sent = std::get_if<plain_call_effect::send_answer>(&effect))
        co_await this->send_answer(*sent, reply);
    else if (const auto* refusal = std::get_if<plain_call_effect::refuse_call>(&effect))
        co_await this->send_refusal(*refusal, reply);
    co_return std::nullopt;
}

plain_call::next_event plain_call::call_endpoint(std::vector<std::string> avoid)
{
    const time_point started = runtime_clock::now();
    endpoint_balancer& balancer = this->shared.balancer;
    const endpoint_config* const chosen =
        balancer.pick(this->service.endpoints, avoid, this->shared.settings.zone, started);
    if (chosen == nullptr)
        co_return plain_call_event::no_endpoint{};
    const endpoint_config endpoint = *chosen;
    process_events().record("service_called", this->request_id, endpoint.name);
    balancer.on_call_started(endpoint.name);
    http::call_options options;
    options.idle_timeout = this->service.call_idle_timeout;
    // A pooled connection may be half-open, and then it would be unknown whether the call arrived.
    options.fresh_connection = this->is_non_idempotent();
    auto response = co_await this->shared.http_client.call(endpoint.address, this->make_forwarded_request(), options);
    const time_point now = runtime_clock::now();
    balancer.on_call_ended(endpoint.name, !response.has_value(), now - started, now);
    if (!response) {
        const bool was_sent = may_have_arrived(response.error().kind);
        process_events().record("service_failed", this->request_id, endpoint.name + (was_sent ? " sent" : " not_sent"));
        count("radishstep_endpoint_failures_total",
              {{"endpoint", endpoint.name}, {"failure", was_sent ? "lost" : "not_reached"}});
        co_return make_failed_event(endpoint.name, was_sent);
    }
    co_return make_answered_event(*response);
}

asio::awaitable<void> plain_call::record_outcome(claim_record outcome)
{
    if (outcome.body.size() > max_recorded_body_bytes)
        co_return;
    ++this->shared.pending_claim_writes;
    const auto written = std::make_shared<timer>(this->shared.executor);
    written->expires_after(max_record_wait);
    auto write = [](traffic_context& shared, claim_request request, claim_record record,
                    std::shared_ptr<timer> done) -> asio::awaitable<void> {
        co_await shared.claims.record(std::move(request), std::move(record));
        --shared.pending_claim_writes;
        done->cancel();
    };
    asio::co_spawn(this->shared.executor, write(this->shared, this->make_claim_request(), std::move(outcome), written),
                   asio::detached);
    // A caller that repeats the call at once should find the recorded outcome, but a slow store must not delay
    // the answer for long.
    boost::system::error_code ignored;
    co_await written->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> plain_call::send_answer(plain_call_effect::send_answer answer, http::reply& reply)
{
    process_events().record("answered", this->request_id, answer.is_replay ? "replay" : "");
    count("radishstep_plain_calls_total", {{"service", this->service.name}, {"outcome", "answered"}});
    http::response response;
    response.status = answer.http_status;
    response.body = std::move(answer.body);
    response.lines.push_back({"X-Request-Id", this->request_id});
    if (!answer.content_type.empty())
        response.lines.push_back({"Content-Type", answer.content_type});
    if (answer.is_replay)
        response.lines.push_back({"Idempotency-Replayed", "true"});
    co_await reply.send(std::move(response));
}

asio::awaitable<void> plain_call::send_refusal(plain_call_effect::refuse_call refusal, http::reply& reply)
{
    const std::string kind{to_string(refusal.reason.kind)};
    process_events().record("refused", this->request_id, kind + (refusal.may_have_run ? " may_have_run" : " not_run"));
    count("radishstep_plain_calls_total", {{"service", this->service.name}, {"outcome", kind}});
    const std::int64_t retry_after_s = is_retryable(refusal.reason.kind) ? retry_after_refusal_s : 0;
    http::response response = refusal_response(refusal.reason, refusal.may_have_run, this->request_id, retry_after_s);
    co_await reply.send(std::move(response));
}

http::request plain_call::make_forwarded_request() const
{
    http::request call;
    call.method = this->request.method;
    call.target = this->request.target;
    call.body = this->request.body;
    for (const char* const header : {"Content-Type", "Accept", "Idempotency-Key"}) {
        const std::string_view value = http::find_header(this->request.lines, header);
        if (!value.empty())
            call.lines.push_back({header, std::string{value}});
    }
    call.lines.push_back({"X-Request-Id", this->request_id});
    call.lines.push_back({"X-Client", this->client.name});
    return call;
}

claim_request plain_call::make_claim_request() const
{
    return {this->client.name, this->idempotency_key, this->request_id, this->fingerprint};
}

} // namespace radishstep
