#include "forward/forward_server.h"

#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "forward/model_forwarder.h"
#include "forward/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// When a caller may come back to a host that has no configuration yet.
constexpr milliseconds not_ready_retry{300};

http::server_limits to_server_limits(const caller_limits& limits)
{
    http::server_limits result;
    result.header_bytes = limits.header_bytes;
    result.body_bytes = limits.body_bytes;
    result.header_timeout = limits.header_time;
    result.idle_timeout = limits.idle_time;
    return result;
}

void report(const caller_request& asked, const route& way, const request_outcome& outcome, time_point arrived)
{
    const auto took = runtime_clock::now() - arrived;
    const bool is_good = outcome.status > 0 && outcome.status < min_failure_status && outcome.cause.empty();
    count("radishstep_forward_requests_total",
          {{"kind", way.is_model ? "model" : "plain"}, {"status", std::to_string(outcome.status)}});
    observe_seconds("radishstep_forward_request_seconds", to_ms(took) / 1'000,
                    {{"kind", way.is_model ? "model" : "plain"}});
    const bool is_paused_long = way.pause_objective > milliseconds{0} && outcome.longest_pause > way.pause_objective;
    const bool is_late = outcome.first_after > way.latency_objective || is_paused_long;
    if (is_late)
        count("radishstep_forward_late_total", {{"kind", way.is_model ? "model" : "plain"}});
    if (is_good && !is_late && !is_sampled(asked.id))
        return;
    log_decision("request_ended", {{"request", asked.id},
                                   {"route", way.name},
                                   {"status", std::to_string(outcome.status)},
                                   {"cause", outcome.cause},
                                   {"endpoint", outcome.endpoint},
                                   {"sends", std::to_string(outcome.sends)},
                                   {"late", is_late ? "yes" : "no"},
                                   {"first_ms", std::to_string(outcome.first_after.count())},
                                   {"longest_pause_ms", std::to_string(outcome.longest_pause.count())},
                                   {"ms", std::to_string(std::chrono::duration_cast<milliseconds>(took).count())}});
}

} // namespace

forward_server::forward_server(forward_context& context, asio::ip::tcp::acceptor listener)
    : context(context),
      server(
          std::move(listener), http::server_limits{},
          [this](const http::request& asked, http::reply& caller) { return this->answer(asked, caller); },
          [&context](const error& reason) { return context.dialect.refusal("", reason, std::nullopt); })
{
}

void forward_server::start()
{
    this->server.start();
}

void forward_server::send_callers_away()
{
    this->server.disable_keep_alive();
}

void forward_server::stop_accepting()
{
    this->server.drain();
    this->server.close_idle();
}

void forward_server::apply_limits(const caller_limits& limits)
{
    this->server.set_limits(to_server_limits(limits));
}

asio::awaitable<void> forward_server::answer(const http::request& asked, http::reply& caller)
{
    const time_point arrived = runtime_clock::now();
    auto read = this->context.dialect.parse_request(asked);
    if (!read) {
        co_await this->refuse("", read.error(), caller);
        co_return;
    }
    const config_ptr config = this->context.config;
    if (!config) {
        const error reason{error_kind::unavailable, "this host has no configuration yet", "ask another host"};
        co_await this->refuse(read->id, reason, caller);
        co_return;
    }
    const route* way = config->find_route(read->host, asked.path());
    if (way == nullptr || way->services.empty()) {
        const error reason{error_kind::not_found, "no route for this host and path", "see the configuration's routes"};
        co_await this->refuse(read->id, reason, caller);
        co_return;
    }
    const std::string service = choose_service(*way, this->context.draw());
    const auto patience = read->patience ? std::min(*read->patience, way->timeout) : way->timeout;
    const auto watch = call_canceller::start(this->context.executor, caller, arrived + patience);
    this->context.budget.record_request(service, arrived);
    const active_request hand{*read, *way, service, caller, *watch, arrived};
    request_outcome outcome;
    if (way->is_model) {
        model_forwarder forward{this->context, hand};
        outcome = co_await forward.run();
    } else {
        plain_forwarder forward{this->context, hand};
        outcome = co_await forward.run();
    }
    watch->stop();
    report(*read, *way, outcome, arrived);
}

asio::awaitable<void> forward_server::refuse(const std::string& request_id, const error& reason, http::reply& caller)
{
    log_decision("refused", {{"request", request_id},
                             {"cause", describe(reason)},
                             {"config", std::to_string(this->context.config ? this->context.config->version : 0)}});
    count("radishstep_forward_refused_total", {{"kind", std::string{to_string(reason.kind)}}});
    std::optional<milliseconds> retry_after;
    if (reason.kind == error_kind::unavailable)
        retry_after = not_ready_retry;
    http::response refusal = this->context.dialect.refusal(request_id, reason, retry_after);
    co_await caller.send(std::move(refusal));
}

} // namespace radishstep::forward
