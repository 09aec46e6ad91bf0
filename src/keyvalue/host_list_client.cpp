#include "keyvalue/host_list_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "http/client.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;

} // namespace

host_list_client::host_list_client(http::client& http_client, std::string address)
    : http_client(http_client), address(std::move(address))
{
}

asio::awaitable<result<std::vector<listed_host>>> host_list_client::fetch()
{
    const std::string remedy = "check --host-list; the last list stays in use";
    http::request request = http::get_request("/v1/hosts");
    const http::call_options options;
    const auto response = co_await this->http_client.call(this->address, std::move(request), options);
    if (!response)
        co_return fail(error_kind::unavailable, "host list: " + response.error().message, remedy);
    if (response->status != status_ok)
        co_return fail(error_kind::unavailable, "host list: status " + std::to_string(response->status), remedy);
    const auto json = nlohmann::json::parse(response->body, nullptr, false);
    if (!json.is_array())
        co_return fail(error_kind::unavailable, "host list: the response is not a JSON array", remedy);
    std::vector<listed_host> hosts;
    for (const auto& item : json) {
        if (!item.is_object())
            continue;
        hosts.push_back({item.value("host", ""), item.value("address", ""), item.value("role", "") == "router",
                         item.value("state", "") == "leaving"});
    }
    co_return hosts;
}

} // namespace radishstep
