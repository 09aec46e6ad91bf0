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
constexpr std::string_view bearer = "Bearer ";
constexpr milliseconds drain_poll{20};

http::response refuse_bytes(const error& reason)
{
    return refusal_response(reason, false, "", 0);
}

} // namespace

entry_server::entry_server(const entry_settings& settings, std::int64_t incarnation, control_ring& control,
                           traffic_ring& inbox, std::function<bool()> may_take_callers)
    : settings(settings), inbox(inbox), may_take_callers(std::move(may_take_callers)), context(1),
      shared(this->context.get_executor(), settings, incarnation, control)
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
    limits.body_bytes = static_cast<std::size_t>(this->settings.body_bytes);
    auto handler = [this](const http::request& asked, http::reply& reply) { return this->handle(asked, reply); };
    this->server = std::make_unique<http::server>(std::move(*listener), limits, handler, refuse_bytes);
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
    if (this->draining.exchange(true))
        return;
    asio::post(this->context, [this] { asio::co_spawn(this->context, this->drain_and_stop(), asio::detached); });
}

bool entry_server::is_ready() const
{
    return this->has_config && this->may_take_callers() && !this->draining;
}

asio::awaitable<void> entry_server::handle(const http::request& asked, http::reply& reply)
{
    ++this->running_requests;
    co_await this->route(asked, reply);
    --this->running_requests;
}

asio::awaitable<void> entry_server::route(const http::request& asked, http::reply& reply)
{
    const std::string path{asked.path()};
    if (asked.method == "GET" && (path == "/healthz" || path == "/readyz")) {
        const bool is_fine = path == "/healthz" || this->is_ready();
        http::response answer = http::json_response(is_fine ? status_ok : status_unavailable,
                                                    is_fine ? R"({"ok":true})" : R"({"ok":false})");
        co_await reply.send(std::move(answer));
        co_return;
    }
    if (asked.method == "GET" && path == "/metrics") {
        http::response answer;
        answer.body = metrics_text();
        co_await reply.send(std::move(answer));
        co_return;
    }
    const auto client = this->authenticate(asked);
    if (!client) {
        co_await this->refuse(client.error(), reply);
        co_return;
    }
    if (path == "/v1/models" && asked.method == "GET") {
        http::response page = this->models_page(*client);
        co_await reply.send(std::move(page));
        co_return;
    }
    const bool is_chat = path == "/v1/chat/completions";
    if (is_chat || path == "/v1/completions") {
        co_await this->serve_completion(asked, *client, is_chat, reply);
        co_return;
    }
    co_await this->serve_plain(asked, *client, reply);
}

asio::awaitable<void> entry_server::serve_completion(const http::request& asked, const client_config& client, bool chat,
                                                     http::reply& reply)
{
    auto target = this->read_completion(asked, client, chat);
    if (!target) {
        co_await this->refuse(target.error(), reply);
        co_return;
    }
    const auto request = std::make_shared<model_request>(this->shared, std::move(target->wanted), client, target->pool);
    co_await request->run(reply);
}

asio::awaitable<void> entry_server::serve_plain(const http::request& asked, const client_config& client,
                                                http::reply& reply)
{
    const auto service = this->find_service(asked, client);
    if (!service) {
        co_await this->refuse(service.error(), reply);
        co_return;
    }
    plain_call call{this->shared, asked, client, *service};
    co_await call.run(reply);
}

result<entry_server::completion_target> entry_server::read_completion(const http::request& asked,
                                                                      const client_config& client, bool chat) const
{
    if (asked.method != "POST")
        return fail(error_kind::bad_request, "completions take POST", "send the call with POST");
    auto wanted = parse_completion(asked.body, chat);
    if (!wanted)
        return tl::unexpected{wanted.error()};
    const pool_config* const pool = this->shared.site->find_pool_for_model(wanted->model);
    const bool is_visible = pool != nullptr && contains(client.pools, pool->name);
    if (!is_visible) {
        return fail(error_kind::unknown_model, "there is no model '" + wanted->model + "' for this client",
                    "name a model of GET /v1/models");
    }
    if (estimate_tokens(wanted->prompt) > pool->max_prompt_tokens || wanted->max_tokens > pool->max_answer_tokens) {
        return fail(error_kind::too_large, "the prompt or max_tokens is over the model's limit",
                    "shorten the prompt to " + std::to_string(pool->max_prompt_tokens) + " tokens and max_tokens to " +
                        std::to_string(pool->max_answer_tokens));
    }
    return completion_target{std::move(*wanted), *pool};
}

result<service_config> entry_server::find_service(const http::request& asked, const client_config& client) const
{
    const service_config* const service = this->shared.site->find_service_for_path(asked.path());
    if (service == nullptr || !contains(client.services, service->name)) {
        return fail(error_kind::not_found, "there is no such service for this client",
                    "check the path and the client's grants");
    }
    const bool must_carry_key = contains(service->non_idempotent_methods, asked.method);
    if (must_carry_key && http::find_header(asked.lines, "Idempotency-Key").empty()) {
        return fail(error_kind::idempotency_key_required, asked.method + " of this service runs at most once",
                    "send an Idempotency-Key header of your choice, new for each call");
    }
    return *service;
}

asio::awaitable<void> entry_server::refuse(error reason, http::reply& reply)
{
    count("radishstep_refused_at_door_total", {{"kind", std::string{to_string(reason.kind)}}});
    const std::int64_t retry_after = reason.kind == error_kind::unavailable ? 1 : 0;
    http::response answer = refusal_response(reason, false, "", retry_after);
    co_await reply.send(std::move(answer));
}

http::response entry_server::models_page(const client_config& client) const
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

result<client_config> entry_server::authenticate(const http::request& asked) const
{
    if (!this->shared.site)
        return fail(error_kind::unavailable, "this host has no configuration yet", "try again shortly");
    const std::string remedy = "send Authorization: Bearer KEY with a key that the operators gave out";
    const std::string_view header = http::find_header(asked.lines, "Authorization");
    if (!header.starts_with(bearer))
        return fail(error_kind::unauthorized, "no bearer key", remedy);
    const client_config* const client = this->shared.site->find_client_by_key(header.substr(bearer.size()));
    if (client == nullptr)
        return fail(error_kind::unauthorized, "unknown key", remedy);
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
        const auto found = this->shared.waiting.find(key);
        if (found == this->shared.waiting.end())
            continue;
        const auto tell = found->second;
        if (refusal != nullptr)
            this->shared.waiting.erase(found);
        tell(*message);
    }
}

asio::awaitable<void> entry_server::drain_and_stop()
{
    process_events().record("draining", "", "");
    log_state("draining", {{"in_progress", std::to_string(this->running_requests)}});
    // The balancer needs a moment to see that this host is not ready any more.
    co_await pause_for(this->settings.drain_notice);
    this->server->drain();
    const time_point give_up_at = runtime_clock::now() + this->settings.drain_time;
    while (runtime_clock::now() < give_up_at) {
        const bool is_done = this->running_requests == 0 && this->shared.open_records == 0;
        if (is_done)
            break;
        co_await pause_for(drain_poll);
    }
    // Answers that were just finished leave the socket, and the last releases the control duty.
    co_await pause_for(drain_poll * 5);
    log_state("drained", {{"in_progress", std::to_string(this->running_requests)}});
    this->context.stop();
}

} // namespace radishstep
