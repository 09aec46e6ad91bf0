#include "entry/entry_server.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "entry/completion_api.h"
#include "entry/model_request.h"
#include "entry/plain_call.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr milliseconds drain_poll_interval{20};

http::response refuse_malformed(const error& reason)
{
    return refusal_response(reason, false, "", 0);
}

} // namespace

entry_server::entry_server(const entry_settings& settings, std::int64_t incarnation, control_ring& control_inbox,
                           traffic_ring& inbox, std::function<bool()> may_accept_callers)
    : settings(settings), inbox(inbox), may_accept_callers(std::move(may_accept_callers)), context(1),
      shared(this->context.get_executor(), settings, incarnation, control_inbox)
{
    this->inbox.on_wake([this] { asio::post(this->context, [this] { this->drain_inbox(); }); });
}

entry_server::~entry_server() = default;

result<void> entry_server::open()
{
    auto listener = http::listen(this->context.get_executor(), this->settings.listen);
    if (!listener)
        return tl::unexpected{listener.error()};
    http::server_limits limits;
    limits.body_bytes = static_cast<std::size_t>(this->settings.max_body_bytes);
    auto handler = [this](const http::request& request, http::reply& reply) { return this->handle(request, reply); };
    this->server = std::make_unique<http::server>(std::move(*listener), limits, handler, refuse_malformed);
    this->server->start();
    return {};
}

void entry_server::run()
{
    const auto work = asio::make_work_guard(this->context);
    this->context.run();
}

void entry_server::stop()
{
    this->context.stop();
}

void entry_server::drain()
{
    if (this->is_draining.exchange(true))
        return;
    asio::post(this->context, [this] { asio::co_spawn(this->context, this->drain_and_stop(), asio::detached); });
}

bool entry_server::is_ready() const
{
    return this->has_config && this->may_accept_callers() && !this->is_draining;
}

asio::awaitable<void> entry_server::handle(const http::request& request, http::reply& reply)
{
    ++this->running_requests;
    co_await this->route(request, reply);
    --this->running_requests;
}

asio::awaitable<void> entry_server::route(const http::request& request, http::reply& reply)
{
    const std::string path{request.path()};
    if (request.method == "GET" && (path == "/healthz" || path == "/readyz")) {
        const bool is_ok = path == "/healthz" || this->is_ready();
        http::response response =
            http::json_response(is_ok ? status_ok : status_unavailable, is_ok ? R"({"ok":true})" : R"({"ok":false})");
        co_await reply.send(std::move(response));
        co_return;
    }
    if (request.method == "GET" && path == "/metrics") {
        http::response response;
        response.body = metrics_text();
        co_await reply.send(std::move(response));
        co_return;
    }
    const auto client = this->authenticate(request);
    if (!client) {
        co_await this->refuse(client.error(), reply);
        co_return;
    }
    if (path == "/v1/models" && request.method == "GET") {
        http::response response = this->models_response(*client);
        co_await reply.send(std::move(response));
        co_return;
    }
    const bool is_chat = path == "/v1/chat/completions";
    if (is_chat || path == "/v1/completions") {
        co_await this->serve_completion(request, *client, is_chat, reply);
        co_return;
    }
    co_await this->serve_plain_call(request, *client, reply);
}

asio::awaitable<void> entry_server::serve_completion(const http::request& request, const client_config& client,
                                                     bool is_chat, http::reply& reply)
{
    auto target = this->resolve_completion(request, client, is_chat);
    if (!target) {
        co_await this->refuse(target.error(), reply);
        co_return;
    }
    const auto active_request =
        std::make_shared<model_request>(this->shared, std::move(target->completion), client, target->pool);
    co_await active_request->run(reply);
}

asio::awaitable<void> entry_server::serve_plain_call(const http::request& request, const client_config& client,
                                                     http::reply& reply)
{
    const auto service = this->find_service(request, client);
    if (!service) {
        co_await this->refuse(service.error(), reply);
        co_return;
    }
    plain_call call{this->shared, request, client, *service};
    co_await call.run(reply);
}

result<entry_server::completion_target>
entry_server::resolve_completion(const http::request& request, const client_config& client, bool is_chat) const
{
    if (request.method != "POST")
        return fail(error_kind::bad_request, "completions accept only POST", "send the call with POST");
    auto completion = parse_completion(request.body, is_chat);
    if (!completion)
        return tl::unexpected{completion.error()};
    const pool_config* const pool = this->shared.site->find_pool_for_model(completion->model);
    const bool is_visible = pool != nullptr && contains(client.pools, pool->name);
    if (!is_visible) {
        return fail(error_kind::unknown_model, "there is no model '" + completion->model + "' for this client",
                    "name a model of GET /v1/models");
    }
    if (estimate_tokens(completion->prompt) > pool->max_prompt_tokens ||
        completion->max_tokens > pool->max_answer_tokens) {
        return fail(error_kind::too_large, "the prompt or max_tokens is over the model's limit",
                    "shorten the prompt to " + std::to_string(pool->max_prompt_tokens) + " tokens and max_tokens to " +
                        std::to_string(pool->max_answer_tokens));
    }
    return completion_target{std::move(*completion), *pool};
}

result<service_config> entry_server::find_service(const http::request& request, const client_config& client) const
{
    const service_config* const service = this->shared.site->find_service_for_path(request.path());
    if (service == nullptr || !contains(client.services, service->name)) {
        return fail(error_kind::not_found, "there is no such service for this client",
                    "check the path and the services listed for this client");
    }
    const bool is_key_required = contains(service->non_idempotent_methods, request.method);
    if (is_key_required && http::find_header(request.lines, "Idempotency-Key").empty()) {
        return fail(error_kind::idempotency_key_required, request.method + " of this service runs at most once",
                    "send an Idempotency-Key header of your choice, new for each call");
    }
    return *service;
}

asio::awaitable<void> entry_server::refuse(error reason, http::reply& reply)
{
    count("radishstep_refused_at_door_total", {{"kind", std::string{to_string(reason.kind)}}});
    const std::int64_t retry_after_s = reason.kind == error_kind::unavailable ? 1 : 0;
    http::response response = refusal_response(reason, false, "", retry_after_s);
    co_await reply.send(std::move(response));
}

http::response entry_server::models_response(const client_config& client) const
{
    nlohmann::json models = nlohmann::json::array();
    for (const pool_config& pool : this->shared.site->pools) {
        if (!contains(client.pools, pool.name))
            continue;
        for (const std::string& model : pool.models)
            models.push_back({{"id", model}, {"object", "model"}, {"owned_by", pool.name}});
    }
    return http::json_response(status_ok, nlohmann::json{{"object", "list"}, {"data", models}}.dump());
}

result<client_config> entry_server::authenticate(const http::request& request) const
{
    if (!this->shared.site)
        return fail(error_kind::unavailable, "this host has no configuration yet", "try again shortly");
    const std::string remedy = "send Authorization: Bearer KEY with a key that the operators issued";
    const std::string_view header = http::find_header(request.lines, "Authorization");
    if (!header.starts_with(bearer_prefix))
        return fail(error_kind::unauthorized, "the request has no bearer key", remedy);
    const client_config* const client = this->shared.site->find_client_by_key(header.substr(bearer_prefix.size()));
    if (client == nullptr)
        return fail(error_kind::unauthorized, "the bearer key is unknown", remedy);
    return *client;
}

void entry_server::drain_inbox()
{
    while (const auto message = this->inbox.pop()) {
        if (const auto* config = std::get_if<to_traffic::config>(&*message)) {
            this->shared.site = config->site;
            this->has_config = true;
            continue;
        }
        if (const auto* leaving = std::get_if<to_traffic::leaving_hosts>(&*message)) {
            this->shared.balancer.set_leaving_addresses(leaving->addresses);
            continue;
        }
        const auto* refusal = std::get_if<permit_refusal>(&*message);
        const permit_key key = refusal != nullptr ? refusal->key : std::get<permit_grant>(*message).key;
        const auto found = this->shared.permit_callbacks.find(key);
        if (found == this->shared.permit_callbacks.end())
            continue;
        const auto on_reply = found->second;
        if (refusal != nullptr)
            this->shared.permit_callbacks.erase(found);
        on_reply(*message);
    }
}

asio::awaitable<void> entry_server::drain_and_stop()
{
    process_events().record("draining", "", "");
    log_state("draining", {{"in_progress", std::to_string(this->running_requests)}});
    // Load balancers in front need time to see that this host is no longer ready.
    co_await pause_for(this->settings.readiness_drain_delay);
    this->server->drain();
    const time_point drain_deadline = runtime_clock::now() + this->settings.drain_timeout;
    while (runtime_clock::now() < drain_deadline) {
        const bool is_done = this->running_requests == 0 && this->shared.pending_claim_writes == 0;
        if (is_done)
            break;
        co_await pause_for(drain_poll_interval);
    }
    // Lets the last answers leave their sockets and the last permit releases leave the control duty.
    co_await pause_for(drain_poll_interval * 5);
    log_state("drained", {{"in_progress", std::to_string(this->running_requests)}});
    this->context.stop();
}

} // namespace radishstep
