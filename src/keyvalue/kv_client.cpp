#include "keyvalue/kv_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/metrics.h"
#include "base/text.h"
#include "http/client.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr milliseconds call_timeout{800};
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

tl::unexpected<error> unavailable(const std::string& cause)
{
    count("radishstep_kv_errors_total");
    return fail(error_kind::unavailable, "the key-value service failed: " + cause,
                "wait until the service is available again");
}

result<std::optional<kv_entry>> parse_entry(const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_array() || json.empty() || !json[0].is_object())
        return unavailable("the response is not a list of entries");
    const auto value = from_base64(json[0].value("Value", ""));
    if (!value)
        return unavailable("the value is not Base64");
    return kv_entry{*value, json[0].value("ModifyIndex", std::int64_t{0})};
}

} // namespace

kv_client::kv_client(http::client& http_client, std::string address)
    : http_client(http_client), address(std::move(address))
{
}

asio::awaitable<result<std::optional<kv_entry>>> kv_client::get(std::string key)
{
    return this->fetch("/v1/kv/" + key, call_timeout);
}

asio::awaitable<result<std::optional<kv_entry>>> kv_client::watch(std::string key, std::int64_t index,
                                                                  milliseconds wait)
{
    const std::string query = "?index=" + std::to_string(index) + "&wait=" + std::to_string(wait.count()) + "ms";
    return this->fetch("/v1/kv/" + key + query, wait + call_timeout);
}

asio::awaitable<result<bool>> kv_client::compare_and_swap(std::string key, std::string value, std::int64_t index)
{
    count("radishstep_kv_calls_total", {{"kind", "write"}});
    std::string target = "/v1/kv/" + key + "?cas=" + std::to_string(index);
    http::request request = http::json_request("PUT", std::move(target), std::move(value));
    http::call_options options;
    options.idle_timeout = call_timeout;
    const auto response = co_await this->http_client.call(this->address, std::move(request), options);
    if (!response)
        co_return unavailable(response.error().message);
    if (response->status != status_ok)
        co_return unavailable("status " + std::to_string(response->status));
    co_return response->body.starts_with("true");
}

asio::awaitable<result<std::optional<kv_entry>>> kv_client::fetch(std::string target, milliseconds idle_timeout)
{
    count("radishstep_kv_calls_total", {{"kind", "read"}});
    http::call_options options;
    options.idle_timeout = idle_timeout;
    http::request request = http::get_request(std::move(target));
    const auto response = co_await this->http_client.call(this->address, std::move(request), options);
    if (!response)
        co_return unavailable(response.error().message);
    if (response->status == status_not_found)
        co_return std::optional<kv_entry>{};
    if (response->status != status_ok)
        co_return unavailable("status " + std::to_string(response->status));
    co_return parse_entry(response->body);
}

} // namespace radishstep
