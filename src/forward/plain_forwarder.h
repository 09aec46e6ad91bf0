#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "forward/call_canceller.h"
#include "forward/forward_context.h"

namespace radishstep::forward {

/// A request on its way, as the parts that serve it see it.
struct active_request
{
    const caller_request& request;
    const route& matched_route;
    const std::string& service;
    http::reply& caller;
    call_canceller& canceller;
    time_point arrived_at;
};

/// How a request ended, for logs and metrics.
struct request_outcome
{
    unsigned status = 0;
    std::string cause;
    std::string endpoint;
    int sends = 0;
    /// From its arrival to the first byte of its answer.
    milliseconds first_after{0};
    /// Longest time between two events of a stream.
    milliseconds longest_pause{0};

    bool operator==(const request_outcome&) const = default;
};

/// Serves a request whose whole answer one endpoint makes.
class plain_forwarder
{
public:
    /// What a usual call takes of its objective.
    static constexpr milliseconds serving_time{80};
    /// How long a call waits for a place; the caller has time to come back after it.
    static constexpr double longest_wait_objectives = 4;

    plain_forwarder(forward_context& context, active_request active);

    /// Returns once the caller has its answer or is gone.
    boost::asio::awaitable<request_outcome> run();

private:
    enum class next_step { done, try_again };

    boost::asio::awaitable<std::optional<selection_failure>> find_endpoint();
    boost::asio::awaitable<next_step> send_to(endpoint at);
    void log_call(const endpoint& at, time_point sent, const std::string& ended, bool is_failure) const;
    next_step take_failure(const endpoint& at, const error& failure);
    next_step take_answer(const endpoint& at, http::response answer);
    std::optional<error> reason_to_stop();
    boost::asio::awaitable<void> finish();

    forward_context& context;
    active_request active;
    excluded_endpoints tried;
    endpoint chosen;
    /// The answer that the caller gets unless a better one comes.
    std::optional<http::response> answer;
    request_outcome outcome;
    /// Endpoints on which the request ran or may have run.
    unsigned runs = 0;
    /// Sends that reached an endpoint, or may have.
    int arrivals = 0;
    std::optional<error> failure;
};

} // namespace radishstep::forward
