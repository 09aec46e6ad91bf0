#include "keyvalue/host_list_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "http/client.h"

namespace radishstep {

namespace asio = boost::asio;

host_list_client::host_list_client(http::client& calls, std::string address) : calls(calls), address(std::move(address))
{
}

asio::awaitable<result<std::vector<listed_host>>> host_list_client::fetch()
{
    const std::string remedy = "check --host-list; the last list stays in use";
    http::request question = http::get_request("/v1/hosts");
    const http::call_options options;
    const auto answer = co_await this->calls.call(this->address, std::move(question), options);
    if (!answer)
        co_return fail(error_kind::unavailable, "host list: " + answer.error().message, remedy);
    const auto json = nlohmann::json::parse(answer->body, nullptr, false);
    if (!json.is_array())
        co_return fail(error_kind::unavailable, "host list: the answer is no list", remedy);
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
