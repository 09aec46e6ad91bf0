#include "admin/admin_server.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "http/server.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_accepted = 202;

http::response error_response(const error& failure)
{
    const nlohmann::json json{
        {"error", {{"kind", to_string(failure.kind)}, {"message", failure.message}, {"remedy", failure.remedy}}}};
    return http::json_response(http_status(failure.kind), json.dump());
}

http::response timeline_response(const http::request& request)
{
    timeline_query query;
    query.since = static_cast<std::uint64_t>(to_integer(request.query("since")).value_or(0));
    query.request = std::string{request.query("request")};
    return {status_ok, {{"Content-Type", "application/jsonl"}}, to_json_lines(process_events().find(query))};
}

http::response handle_request(const http::request& request, const admin_hooks& hooks)
{
    const std::string_view path = request.path();
    if (request.method == "GET" && path == "/metrics")
        return {status_ok, {{"Content-Type", "text/plain; version=0.0.4"}}, metrics_text()};
    if (request.method == "GET" && path == "/status")
        return http::json_response(status_ok, hooks.status());
    if (request.method == "GET" && path == "/timeline")
        return timeline_response(request);
    if (request.method == "POST" && path == "/drain") {
        hooks.drain();
        return http::json_response(status_accepted, R"({"draining":true})");
    }
    return error_response(
        {error_kind::not_found, "there is no such page", "use /metrics, /status, /timeline or POST /drain"});
}

} // namespace

result<std::unique_ptr<admin_server>> admin_server::open(const asio::any_io_executor& executor,
                                                         const std::string& address, admin_hooks hooks)
{
    auto listener = http::listen(executor, address);
    if (!listener)
        return tl::unexpected{listener.error()};
    auto handler = [hooks = std::move(hooks)](const http::request& request,
                                              http::reply& reply) -> asio::awaitable<void> {
        co_await reply.send(handle_request(request, hooks));
    };
    auto server = std::make_unique<http::server>(std::move(*listener), http::server_limits{}, handler, error_response);
    server->start();
    return std::unique_ptr<admin_server>{new admin_server{std::move(server)}};
}

admin_server::admin_server(std::unique_ptr<http::server> http_server) : server(std::move(http_server)) {}

admin_server::~admin_server() = default;

} // namespace radishstep
