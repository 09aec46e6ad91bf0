#pragma once

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "http/client.h"
#include "raw_server.h"

namespace radishstep::testing {

/// What becomes of a response on its way through a relay.
struct relay_change
{
    /// Three digits that replace the status; "" leaves it.
    std::string status;
    /// The connection is closed when this many bytes of the body have been sent; -1 sends the whole of it.
    int cut_after = -1;
};

/// Stands in front of an endpoint, hands requests on to it and changes its responses. Without a target it answers
/// itself, with status 200 and `body`.
class status_relay
{
public:
    using choice = std::function<relay_change(const http::request&)>;

    /// Listens at `address`; `change` is called on the relay's own thread.
    status_relay(const std::string& address, std::string target, choice change, std::string body = "");
    ~status_relay();
    status_relay(const status_relay&) = delete;
    status_relay& operator=(const status_relay&) = delete;

    std::string address() const { return this->server.address(); }

    /// Returns how many responses were changed.
    int changed() const { return this->changed_responses; }

private:
    boost::asio::awaitable<bool> handle(const http::request& request, raw_connection& peer);
    boost::asio::awaitable<http::response> ask_target(http::request request);

    boost::asio::io_context io{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    http::client calls;
    std::string target;
    choice change;
    std::string body;
    std::atomic<int> changed_responses = 0;
    raw_server server;
    std::thread thread;
};

/// Returns a choice that gives all responses this status.
status_relay::choice always(const std::string& status);

} // namespace radishstep::testing
