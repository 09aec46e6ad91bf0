#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"
#include "forward/endpoints/endpoint.h"
#include "http/connection_check.h"

namespace radishstep::forward {

/// Asks an endpoint that has broken off a request whether its process has ended, by opening a connection: an endpoint
/// that is back soon would be asked by no other call in time, and its next registration may come much later. Sends no
/// request.
class endpoint_checker
{
public:
    /// How long an accepted connection is held: a process that ends may still accept for some milliseconds.
    static constexpr milliseconds hold_time{300};
    /// Connections that are opened one after the other while the endpoint ends each of them.
    static constexpr int max_connections = 3;
    /// Endpoints that are checked at a time; further ones are not checked.
    static constexpr std::size_t max_checks = 64;

    explicit endpoint_checker(boost::asio::any_io_executor executor);

    /// Called with the result of each check.
    std::function<void(const std::string& incarnation, http::connection_state)> on_checked;

    /// Starts a check, unless one of the same endpoint is running. The checker must outlive it.
    void check(const endpoint& target);

private:
    boost::asio::awaitable<void> run(std::string address, std::string incarnation);

    boost::asio::any_io_executor executor;
    /// Incarnations that are being checked.
    std::set<std::string> running;
};

} // namespace radishstep::forward
