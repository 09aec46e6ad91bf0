#include "forward/serving/forward_server.h"

#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "forward/queue/capacity_wait.h"
#include "forward/serving/account_admission.h"
#include "forward/serving/model_forwarder.h"
#include "forward/serving/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// Retry delay sent to callers while this host has no configuration.
constexpr milliseconds unconfigured_retry_delay{300};

/// Returns `result` with the configured limits.
http::server_limits to_server_limits(http::server_limits result, const caller_limits& limits)
{
    result.header_bytes = limits.header_bytes;
    result.body_bytes = limits.body_bytes;
    result.header_timeout = limits.header_timeout;
    result.idle_timeout = limits.idle_timeout;
    return result;
}

/// Retry delay sent to callers for whose requests this host has no memory: the time in which slow ones are ended.
constexpr milliseconds out_of_memory_retry_delay{1'000};

void record_request_outcome(const caller_request& request, const route& matched_route, const request_outcome& outcome,
                            time_point arrived_at)
{
    const auto duration = runtime_clock::now() - arrived_at;
    const bool is_good = outcome.status > 0 && outcome.status < min_failure_status && outcome.cause.empty();
    count("radishstep_forward_requests_total",
          {{"kind", matched_route.is_model ? "model" : "plain"}, {"status", std::to_string(outcome.status)}});
    observe_seconds("radishstep_forward_request_seconds", to_ms(duration) / 1'000,
                    {{"kind", matched_route.is_model ? "model" : "plain"}});
    const bool has_long_gap =
        matched_route.gap_objective > milliseconds{0} && outcome.longest_event_gap > matched_route.gap_objective;
    const bool is_late = outcome.time_to_first_byte > matched_route.latency_objective || has_long_gap;
    if (is_late)
        count("radishstep_forward_late_total", {{"kind", matched_route.is_model ? "model" : "plain"}});
    if (is_good && !is_late && !is_sampled(request.id))
        return;
    log_decision("request_ended", {{"request", request.id},
                                   {"route", matched_route.name},
                                   {"status", std::to_string(outcome.status)},
                                   {"cause", outcome.cause},
                                   {"endpoint", outcome.endpoint},
                                   {"sends", std::to_string(outcome.send_count)},
                                   {"late", is_late ? "yes" : "no"},
                                   {"first_ms", std::to_string(outcome.time_to_first_byte.count())},
                                   {"longest_pause_ms", std::to_string(outcome.longest_event_gap.count())},
                                   {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(duration).count())}});
}

} // namespace

forward_server::forward_server(forward_context& context, asio::ip::tcp::acceptor listener)
    : context(context),
      server(
          std::move(listener), http::server_limits{},
          [this](const http::request& request, http::reply& caller) { return this->serve(request, caller); },
          [&context](const error& reason) {
              const bool is_overloaded = reason.kind == error_kind::overloaded;
              return context.dialect.make_refusal(
                  "", reason, is_overloaded ? std::optional{out_of_memory_retry_delay} : std::nullopt);
          })
{
}

void forward_server::set_resources(std::shared_ptr<http::memory_budget> budget, std::size_t connections)
{
    if (connections > 0)
        this->limits.connections = connections;
    this->server.set_limits(this->limits);
    this->server.set_memory_budget(std::move(budget));
}

void forward_server::start()
{
    this->server.start();
}

void forward_server::close_after_responses()
{
    this->server.disable_keep_alive();
}

void forward_server::stop_accepting()
{
    this->server.drain();
    this->server.close_idle();
}

void forward_server::end_unanswered_requests()
{
    for (const auto& canceller : this->running) {
        if (!canceller->has_response_started())
            canceller->expire();
    }
}

void forward_server::apply_limits(const caller_limits& limits)
{
    this->limits = to_server_limits(this->limits, limits);
    this->server.set_limits(this->limits);
}

asio::awaitable<void> forward_server::serve(const http::request& request, http::reply& caller)
{
    const time_point arrived_at = runtime_clock::now();
    auto parsed = this->context.dialect.parse_request(request);
    if (!parsed) {
        co_await this->refuse("", parsed.error(), caller);
        co_return;
    }
    const config_ptr config = this->context.config;
    if (!config) {
        const error reason{error_kind::unavailable, "this host has no configuration yet", "ask another host"};
        co_await this->refuse(parsed->id, reason, caller, unconfigured_retry_delay);
        co_return;
    }
    const route* matched_route = config->find_route(parsed->host, request.path());
    if (matched_route == nullptr || matched_route->services.empty()) {
        const error reason{error_kind::not_found, "no route for this host and path", "see the configuration's routes"};
        co_await this->refuse(parsed->id, reason, caller);
        co_return;
    }
    account_admission admission{this->context, *config, *matched_route, *parsed};
    if (const auto unidentified = admission.identify()) {
        co_await this->refuse(parsed->id, *unidentified, caller);
        co_return;
    }
    if (const auto until = this->context.suspects.quarantined_until(parsed->traits, arrived_at)) {
        const auto retry_after = std::chrono::ceil<milliseconds>(*until - arrived_at);
        co_await this->refuse(parsed->id, quarantine_error(), caller, retry_after);
        co_return;
    }
    const std::string service = choose_service(*matched_route, this->context.draw());
    const auto timeout =
        parsed->patience ? std::min(*parsed->patience, matched_route->timeout) : matched_route->timeout;
    if (this->context.is_too_late_for_stop(arrived_at, timeout)) {
        const error reason = to_error(selection_failure::host_stopping);
        co_await this->refuse(parsed->id, reason, caller, retry_after_delay(reason.kind, false, timeout));
        co_return;
    }
    if (const auto over_quota = admission.charge(arrived_at)) {
        co_await this->refuse(parsed->id, *over_quota, caller, admission.retry_delay(arrived_at));
        co_return;
    }
    const auto canceller = call_canceller::start(this->context.executor, caller, arrived_at + timeout);
    this->running.insert(canceller);
    this->context.budget.record_request(service, arrived_at);
    const active_request active{*parsed, *config, *matched_route, service, caller, *canceller, arrived_at};
    request_outcome outcome;
    if (matched_route->is_model) {
        model_forwarder forwarder{this->context, active};
        outcome = co_await forwarder.run();
    } else {
        plain_forwarder forwarder{this->context, active};
        outcome = co_await forwarder.run();
    }
    canceller->stop();
    this->running.erase(canceller);
    admission.settle(outcome.status, runtime_clock::now());
    record_request_outcome(*parsed, *matched_route, outcome, arrived_at);
}

asio::awaitable<void> forward_server::refuse(const std::string& request_id, const error& reason, http::reply& caller,
                                             std::optional<milliseconds> retry_after)
{
    log_decision("refused", {{"request", request_id},
                             {"cause", describe(reason)},
                             {"config", std::to_string(this->context.config ? this->context.config->version : 0)}});
    count("radishstep_forward_refused_total", {{"kind", std::string{to_string(reason.kind)}}});
    http::response response = this->context.dialect.make_refusal(request_id, reason, retry_after);
    co_await caller.send(std::move(response));
}

} // namespace radishstep::forward
