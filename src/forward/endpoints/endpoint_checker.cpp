#include "forward/endpoints/endpoint_checker.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/metrics.h"
#include "forward/serving/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

std::string to_string(http::connection_state state)
{
    switch (state) {
    case http::connection_state::refused:
        return "refused";
    case http::connection_state::ended:
        return "ended";
    case http::connection_state::open:
        return "open";
    case http::connection_state::unreachable:
        return "unreachable";
    }
    return "";
}

} // namespace

endpoint_checker::endpoint_checker(asio::any_io_executor executor) : executor(std::move(executor)) {}

void endpoint_checker::check(const endpoint& target)
{
    const std::string incarnation = target.incarnation();
    if (this->running.size() >= max_checks || !this->running.insert(incarnation).second)
        return;
    asio::co_spawn(this->executor, this->run(target.address, incarnation), asio::detached);
}

asio::awaitable<void> endpoint_checker::run(std::string address, std::string incarnation)
{
    auto state = http::connection_state::ended;
    for (int i = 0; i < max_connections && state == http::connection_state::ended; ++i)
        state = co_await http::check_connection(address, connect_timeout, hold_time);
    this->running.erase(incarnation);
    count("radishstep_forward_endpoint_checks_total", {{"result", to_string(state)}});
    if (this->on_checked)
        this->on_checked(incarnation, state);
}

} // namespace radishstep::forward
