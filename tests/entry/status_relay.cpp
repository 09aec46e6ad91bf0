#include "status_relay.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace radishstep::testing {

namespace asio = boost::asio;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_gateway = 502;

bool is_framing(const std::string& name)
{
    constexpr std::array names{"Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive"};
    return std::ranges::any_of(names, [&](const char* other) { return boost::algorithm::iequals(name, other); });
}

std::string to_bytes(const http::response& answer, const std::string& status)
{
    std::string text = "HTTP/1.1 " + status + " Stand-in\r\n";
    for (const http::header& line : answer.lines) {
        if (!is_framing(line.name))
            text += line.name + ": " + line.value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

} // namespace

status_relay::status_relay(const std::string& address, std::string target, choice change, std::string body)
    : work(asio::make_work_guard(this->io)), calls(this->io.get_executor()), target(std::move(target)),
      change(std::move(change)), body(std::move(body)),
      server(this->io.get_executor(), address,
             [this](const http::request& request, raw_connection& peer) { return this->handle(request, peer); }),
      thread([this] { this->io.run(); })
{
}

status_relay::~status_relay()
{
    this->io.stop();
    this->thread.join();
}

asio::awaitable<http::response> status_relay::ask_target(http::request request)
{
    if (this->target.empty())
        co_return http::text_response(status_ok, this->body);
    std::erase_if(request.lines, [](const http::header& line) { return is_framing(line.name); });
    http::call_options options;
    options.fresh_connection = true;
    auto answer = co_await this->calls.call(this->target, std::move(request), options);
    if (!answer)
        co_return http::text_response(status_bad_gateway, "");
    co_return std::move(*answer);
}

asio::awaitable<bool> status_relay::handle(const http::request& request, raw_connection& peer)
{
    const relay_change wanted = this->change(request);
    const http::response answer = co_await this->ask_target(request);
    if (!wanted.status.empty() || wanted.cut_after >= 0)
        ++this->changed_responses;
    std::string bytes = to_bytes(answer, wanted.status.empty() ? std::to_string(answer.status) : wanted.status);
    if (wanted.cut_after < 0)
        co_return co_await peer.write(std::move(bytes));
    bytes.resize(bytes.size() - answer.body.size() +
                 std::min<std::size_t>(answer.body.size(), static_cast<std::size_t>(wanted.cut_after)));
    co_await peer.write(std::move(bytes));
    peer.close();
    co_return false;
}

status_relay::choice always(const std::string& status)
{
    return [status](const http::request&) { return relay_change{status}; };
}

} // namespace radishstep::testing
