#include "radishctl/command_context.h"

#include <iostream>
#include <utility>

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;

} // namespace

command_context::command_context(asio::io_context& io, const settings_reader& settings, const std::string& key_value,
                                 const std::string& broker)
    : io(io), settings(settings), broker(broker), calls(io.get_executor()), store(this->calls, key_value)
{
}

asio::awaitable<result<std::string>> command_context::get(std::string address, std::string target)
{
    http::request question = http::get_request(std::move(target));
    const http::call_options options;
    auto answer = co_await this->calls.call(address, std::move(question), options);
    if (!answer)
        co_return tl::unexpected{answer.error()};
    if (answer->status != status_ok)
        co_return fail(error_kind::unavailable, address + " answered " + std::to_string(answer->status),
                       "check the address");
    co_return std::move(answer->body);
}

int report(const error& failure)
{
    std::cerr << "radishctl: " << describe(failure) << "\n";
    return exit_failed;
}

} // namespace radishstep
