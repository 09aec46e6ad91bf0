#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "forward/gateway/forward_context.h"
#include "forward/serving/call_canceller.h"
#include "forward/suspects/suspect_trial.h"

namespace radishstep::forward {

/// A request being served by either forwarder. The referenced objects outlive it.
struct active_request
{
    const caller_request& request;
    /// The configuration in force when the request arrived, which holds its route.
    const forward_config& config;
    const route& matched_route;
    const std::string& service;
    http::reply& caller;
    call_canceller& canceller;
    time_point arrived_at;
};

/// How a request ended, for logs and metrics.
struct request_outcome
{
    /// HTTP status sent to the caller; 0 if no response was started.
    unsigned status = 0;
    std::string cause;
    std::string endpoint;
    /// Calls sent to endpoints.
    int send_count = 0;
    /// From the request's arrival to the first byte of its response.
    milliseconds time_to_first_byte{0};
    /// Longest time between two consecutive events of a stream.
    milliseconds longest_event_gap{0};

    bool operator==(const request_outcome&) const = default;
};

/// Forwards a request of a plain service, whose whole answer comes from one endpoint, and retries it at other
/// endpoints where that is allowed.
class plain_forwarder
{
public:
    /// Duration of a typical call, subtracted from the latency objective to get the time that the request may wait.
    static constexpr milliseconds typical_call_time{80};
    /// Longest time from the request's arrival for which it waits for capacity, as a multiple of the latency objective;
    /// the caller still has time to retry after it.
    static constexpr double max_wait_factor = 4;

    plain_forwarder(forward_context& context, active_request active);

    /// Returns once the caller has its response or has disconnected.
    boost::asio::awaitable<request_outcome> run();

private:
    /// done: run() ends the request. retry: run() tries again unless reason_to_stop() returns a reason.
    enum class next_step { done, retry };

    boost::asio::awaitable<std::optional<selection_failure>> wait_for_endpoint();
    boost::asio::awaitable<next_step> send_to(endpoint target);
    void record_pace(const std::string& incarnation, time_point sent_at);
    void log_call(const endpoint& target, time_point sent_at, const std::string& call_result, bool is_failure) const;
    next_step handle_failure(const endpoint& target, time_point sent_at, const error& reason);
    next_step handle_answer(const endpoint& target, http::response answer);
    bool is_lost(const error& failure) const;
    bool is_quarantined() const;
    std::optional<error> reason_to_stop();
    boost::asio::awaitable<void> finish();

    forward_context& context;
    active_request active;
    suspect_trial trial;
    excluded_endpoints tried_endpoints;
    endpoint chosen_endpoint;
    /// The newest answer of an endpoint; sent to the caller when no retry follows.
    std::optional<http::response> last_answer;
    request_outcome outcome;
    /// Endpoints that ran the request or may have run it.
    unsigned run_count = 0;
    /// Calls that reached an endpoint or may have reached it.
    int delivered_calls = 0;
    std::optional<error> stop_reason;
};

} // namespace radishstep::forward
