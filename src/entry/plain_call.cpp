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

constexpr std::size_t max_recorded_body_bytes = 256UL * 1024;
constexpr std::int64_t retry_after_refusal_s = 1;

/// An answer waits so long at the most for its outcome to be written; the writing goes on after that.
constexpr milliseconds longest_record_wait{250};

plain_call_event::any answered_by(const http::response& answer)
{
    return plain_call_event::answered{answer.status, std::string{http::find_header(answer.lines, "Content-Type")},
                                 answer.body};
}

plain_call_event::any failed_at(const std::string& endpoint, bool was_sent)
{
    return plain_call_event::call_failed{endpoint, was_sent};
}

bool is_worth_a_retry(error_kind kind)
{
    return kind == error_kind::claim_unavailable || kind == error_kind::no_endpoint;
}

} // namespace

plain_call::plain_call(traffic_context& shared, const http::request& asked, const client_config& client,
                       const service_config& service)
    : shared(shared), asked(asked), client(client), service(service), name(shared.next_request()),
      key(http::find_header(asked.lines, "Idempotency-Key")),
      fingerprint(sha256_hex(asked.method + "\n" + asked.target + "\n" + asked.body)), arrived(runtime_clock::now())
{
}

bool plain_call::is_non_idempotent() const
{
    return !this->key.empty();
}

asio::awaitable<void> plain_call::run(http::reply& reply)
{
    process_events().record("received", this->name, "client=" + this->client.name + " service=" + this->service.name);
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
    const double seconds = std::chrono::duration<double>(runtime_clock::now() - this->arrived).count();
    observe_seconds("radishstep_plain_call_seconds", seconds, {{"service", this->service.name}});
}

plain_call::next_event plain_call::perform(const plain_call_effect::any& effect, http::reply& reply)
{
    if (std::holds_alternative<plain_call_effect::create_claim>(effect)) {
        claim_request wished = this->wish();
        co_return co_await this->shared.claims.claim(std::move(wished));
    }
    if (const auto* call = std::get_if<plain_call_effect::call_endpoint>(&effect))
        co_return co_await this->call_endpoint(call->avoid);
    if (const auto* record = std::get_if<plain_call_effect::record_outcome>(&effect))
        co_await this->record(record->record);
    else if (const auto* sent = std::get_if<plain_call_effect::send_answer>(&effect))
        co_await this->answer(*sent, reply);
    else if (const auto* refusal = std::get_if<plain_call_effect::refuse_call>(&effect))
        co_await this->refuse(*refusal, reply);
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
    process_events().record("service_called", this->name, endpoint.name);
    balancer.on_call_started(endpoint.name);
    http::call_options options;
    options.idle_timeout = this->service.call_timeout;
    // A kept connection may be half dead: then it would not be known whether the call arrived.
    options.fresh_connection = this->is_non_idempotent();
    auto done = co_await this->shared.calls.call(endpoint.address, this->forwarded(), options);
    const time_point now = runtime_clock::now();
    balancer.on_call_ended(endpoint.name, !done.has_value(), now - started, now);
    if (!done) {
        const bool was_sent = may_have_arrived(done.error().kind);
        process_events().record("service_failed", this->name, endpoint.name + (was_sent ? " sent" : " not_sent"));
        count("radishstep_endpoint_failures_total",
              {{"endpoint", endpoint.name}, {"failure", was_sent ? "lost" : "not_reached"}});
        co_return failed_at(endpoint.name, was_sent);
    }
    co_return answered_by(*done);
}

asio::awaitable<void> plain_call::record(claim_record outcome)
{
    if (outcome.body.size() > max_recorded_body_bytes)
        co_return;
    ++this->shared.open_records;
    const auto written = std::make_shared<timer>(this->shared.executor);
    written->expires_after(longest_record_wait);
    auto write = [](traffic_context& shared, claim_request wish, claim_record record,
                    std::shared_ptr<timer> done) -> asio::awaitable<void> {
        co_await shared.claims.record(std::move(wish), std::move(record));
        --shared.open_records;
        done->cancel();
    };
    asio::co_spawn(this->shared.executor, write(this->shared, this->wish(), std::move(outcome), written),
                   asio::detached);
    // A caller that sends the call again at once should find the outcome; a slow store must not hold it up.
    boost::system::error_code ignored;
    co_await written->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> plain_call::answer(plain_call_effect::send_answer answer, http::reply& reply)
{
    process_events().record("answered", this->name, answer.is_replay ? "replay" : "");
    count("radishstep_plain_calls_total", {{"service", this->service.name}, {"outcome", "answered"}});
    http::response response;
    response.status = answer.http_status;
    response.body = std::move(answer.body);
    response.lines.push_back({"X-Request-Id", this->name});
    if (!answer.content_type.empty())
        response.lines.push_back({"Content-Type", answer.content_type});
    if (answer.is_replay)
        response.lines.push_back({"Idempotency-Replayed", "true"});
    co_await reply.send(std::move(response));
}

asio::awaitable<void> plain_call::refuse(plain_call_effect::refuse_call refusal, http::reply& reply)
{
    const std::string kind{to_string(refusal.reason.kind)};
    process_events().record("refused", this->name, kind + (refusal.may_have_run ? " may_have_run" : " not_run"));
    count("radishstep_plain_calls_total", {{"service", this->service.name}, {"outcome", kind}});
    const std::int64_t retry_after = is_worth_a_retry(refusal.reason.kind) ? retry_after_refusal_s : 0;
    http::response response = refusal_response(refusal.reason, refusal.may_have_run, this->name, retry_after);
    co_await reply.send(std::move(response));
}

http::request plain_call::forwarded() const
{
    http::request call;
    call.method = this->asked.method;
    call.target = this->asked.target;
    call.body = this->asked.body;
    for (const char* const name : {"Content-Type", "Accept", "Idempotency-Key"}) {
        const std::string_view value = http::find_header(this->asked.lines, name);
        if (!value.empty())
            call.lines.push_back({name, std::string{value}});
    }
    call.lines.push_back({"X-Request-Id", this->name});
    call.lines.push_back({"X-Client", this->client.name});
    return call;
}

claim_request plain_call::wish() const
{
    return {this->client.name, this->key, this->name, this->fingerprint};
}

} // namespace radishstep
