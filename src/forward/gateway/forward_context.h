#pragma once

#include <functional>
#include <map>
#include <random>

#include <boost/asio/any_io_executor.hpp>

#include "accounts/account_ledger.h"
#include "forward/endpoints/connection_breaks.h"
#include "forward/endpoints/endpoint_checker.h"
#include "forward/endpoints/endpoint_chooser.h"
#include "forward/endpoints/endpoint_directory.h"
#include "forward/endpoints/endpoint_health.h"
#include "forward/endpoints/endpoint_notices.h"
#include "forward/endpoints/engine_model.h"
#include "forward/fleet/fleet_load.h"
#include "forward/fleet/retry_budget.h"
#include "forward/gateway/forward_config.h"
#include "forward/gateway/forward_dialect.h"
#include "forward/queue/request_queue.h"
#include "forward/serving/stream_time_estimate.h"
#include "forward/suspects/crash_suspects.h"
#include "forward/suspects/crash_trials.h"
#include "http/client.h"

namespace radishstep::forward {

/// State shared by all requests of the process. Used from one thread only.
struct forward_context
{
    forward_context(const boost::asio::any_io_executor& executor, const forward_dialect& dialect, std::string zone);

    boost::asio::any_io_executor executor;
    const forward_dialect& dialect;
    http::client http_client;
    endpoint_directory directory;
    fleet_load load;
    endpoint_health health;
    endpoint_notices notices;
    /// How long endpoints take for their work.
    engine_model model;
    endpoint_chooser chooser;
    /// This host's open calls, and those that broke off together.
    connection_breaks breaks;
    /// Asks endpoints that have broken off requests whether they have ended.
    endpoint_checker checker;
    retry_budget budget;
    /// Requests on which endpoints crash.
    crash_suspects suspects;
    /// Those of them that are being sent.
    crash_trials trials;
    /// Requests waiting for capacity at an endpoint, by service.
    std::map<std::string, request_queue> request_queues;
    /// Durations of streams, by service.
    std::map<std::string, stream_time_estimate> stream_times;
    config_ptr config;
    /// What the client accounts have spent of their quotas on all hosts.
    accounts::account_ledger ledger;
    /// When requests in progress end, set once the process has been told to stop.
    std::optional<time_point> stop_deadline;
    /// From when on callers of a stopping process have had time to move to other hosts.
    std::optional<time_point> callers_moved_at;
    /// Load reports arrive often enough that the loads of other hosts are known within a fraction of a plain
    /// call's duration.
    bool are_peer_loads_current = true;
    /// Called when work starts or ends at an endpoint, and when a request starts or stops waiting. Changes of
    /// KV-cache use are urgent, since this memory is scarce and stays in use for seconds.
    std::function<void(bool is_urgent)> on_load_change;
    std::mt19937_64 random;

    /// Calls on_load_change if it is set.
    void notify_load_change(bool is_urgent) const;

    /// Records a call that failed without an answer in the endpoint's health.
    void record_call_failure(const std::string& incarnation, error_kind kind);

    /// Records in the suspects that a request's connection to an endpoint broke before its answer, of a stream before
    /// it had shown its request to be sound, unless the endpoint was leaving as planned. Then checks the endpoint.
    void record_lost_request(const endpoint& target, const std::vector<std::string>& traits, time_point sent_at,
                             std::optional<time_point> first_event_at = std::nullopt);

    /// Records in the suspects that a request got no answer at an endpoint whose process was found to have ended at
    /// `ended_at`, although its connection is still open, unless the endpoint was leaving as planned.
    void record_silent_request(const endpoint& target, const std::vector<std::string>& traits, time_point sent_at,
                               std::optional<time_point> first_event_at, time_point ended_at);

    /// Tells the silent calls at endpoints that are known to be down.
    void tell_silent_calls();

    /// Logs and counts that a request is sent on which, or on a part of which, endpoints have crashed.
    void report_suspect_send(const std::string& request_id, const endpoint& target,
                             const std::vector<std::string>& traits) const;

    /// Logs and counts that an endpoint ran a request and answered it with a status which says that it did not.
    void report_untrue_refusal(const std::string& request_id, const endpoint& source, unsigned status) const;

    /// Returns whether a request must not be sent because endpoints have crashed on such ones. For one that may have
    /// run already, crashes count that are not confirmed yet.
    bool is_quarantined(const std::vector<std::string>& traits, bool may_have_run) const;

    /// Returns whether a request is refused at once since this process stops: its callers could have asked another
    /// host, and it might not be answered by the time at which requests end.
    bool is_too_late_for_stop(time_point arrived_at, milliseconds timeout) const;

    /// Marks an endpoint as down, since it refused a connection or another incarnation answered at its address, and
    /// schedules an urgent report to the other hosts.
    void mark_down(const std::string& incarnation, bool has_refused = false);

    /// Records what the check of an endpoint that broke off a request has shown.
    void record_endpoint_check(const std::string& incarnation, http::connection_state state);

    /// Records what an endpoint says of itself in its answer to a call; `request_id` is empty for calls without an id.
    void record_notice(const endpoint& source, call_kind call, const std::string& request_id,
                       const http::response& head);

    /// Forgets notices of endpoints that the newly registered one replaces.
    void forget_replaced_notices(const endpoint& registered);

    /// Ends notices that are over and updates their metrics.
    void expire_notices();

    /// Returns the retry delay for a refused caller of a service, or nothing if its request may have run. While all
    /// endpoints of the service pause, it lasts until the first pause ends.
    std::optional<milliseconds> caller_retry_delay(const std::string& service, error_kind reason, bool may_have_run,
                                                   milliseconds remaining);

    /// Returns the first request of each non-empty request queue.
    std::vector<queue_head> queue_heads() const;

    /// Returns a uniformly distributed random number from [0, 1).
    double draw();
};

/// Adds work to an endpoint's load and removes it on destruction.
class load_guard
{
public:
    load_guard(forward_context& context, std::string incarnation, endpoint_load work);
    ~load_guard();
    load_guard(const load_guard&) = delete;
    load_guard& operator=(const load_guard&) = delete;

    /// Adds KV-cache tokens that the work now occupies in addition.
    void add_tokens(std::int64_t tokens);

    /// Removes the work before destruction; further calls do nothing.
    void end();

private:
    forward_context& context;
    std::string incarnation;
    endpoint_load work;
    bool has_ended = false;
};

} // namespace radishstep::forward
