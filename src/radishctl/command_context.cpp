#include "radishctl/command_context.h"

#include <iostream>
#include <utility>

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;

} // namespace

command_context::command_context(asio::io_context& io, const settings_reader& settings,
                                 const std::string& key_value_address, const std::string& broker_address)
    : io(io), settings(settings), broker_address(broker_address), http_client(io.get_executor()),
      key_value_client(this->http_client, key_value_address)
{
}

asio::awaitable<result<std::string>> command_context::get_page(std::string address, std::string target)
{
    http::request request = http::get_request(std::move(target));
    const http::call_options options;
    auto response = co_await this->http_client.call(address, std::move(request), options);
    if (!response)
        co_return tl::unexpected{response.error()};
    if (response->status != status_ok)
        co_return fail(error_kind::unavailable,
                       address + " answered with HTTP status " + std::to_string(response->status),
                       "check that it is the admin address of an entry or broker");
    co_return std::move(response->body);
}

int report_error(const error& failure)
{
    std::cerr << "radishctl: " << describe(failure) << "\n";
    return exit_failed;
}

} // namespace radishstep
