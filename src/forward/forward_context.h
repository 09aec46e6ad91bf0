#pragma once

#include <functional>
#include <map>
#include <random>

#include <boost/asio/any_io_executor.hpp>

#include "forward/endpoint_chooser.h"
#include "forward/endpoint_directory.h"
#include "forward/endpoint_health.h"
#include "forward/fleet_load.h"
#include "forward/forward_config.h"
#include "forward/forward_dialect.h"
#include "forward/retry_budget.h"
#include "forward/request_queue.h"
#include "http/client.h"

namespace radishstep::forward {

/// What all requests of a process share. Lives on one thread.
struct forward_context
{
    forward_context(const boost::asio::any_io_executor& executor, const forward_dialect& dialect, std::string zone);

    boost::asio::any_io_executor executor;
    const forward_dialect& dialect;
    http::client calls;
    endpoint_directory directory;
    fleet_load load;
    endpoint_health health;
    endpoint_chooser chooser;
    retry_budget budget;
    /// Requests that wait for a place, by service.
    std::map<std::string, request_queue> request_queues;
    config_ptr config;
    /// The loads at other hosts are known within a fraction of a plain call's time.
    bool are_peer_loads_current = true;
    /// Runs when work began or ended at an endpoint, or a request began or ended to wait. Engine memory is
    /// scarce and held for seconds, so such changes are urgent.
    std::function<void(bool is_urgent)> on_load_change;
    std::mt19937_64 random;

    /// Runs the hook for changes.
    void notify_load_change(bool is_urgent) const;

    /// Counts a call that failed without an answer.
    void note_failure(const std::string& incarnation, error_kind kind);

    /// Takes that an endpoint is down and has the other hosts told.
    void record_down(const std::string& incarnation);

    /// Returns the first request of each line.
    std::vector<queue_head> queue_heads() const;

    /// Returns a uniform draw from [0, 1).
    double draw();
};

/// Counts work at an endpoint for as long as it lives.
class load_guard
{
public:
    load_guard(forward_context& context, std::string incarnation, endpoint_load work);
    ~load_guard();
    load_guard(const load_guard&) = delete;
    load_guard& operator=(const load_guard&) = delete;

    /// Counts that the work takes more memory now.
    void add_tokens(std::int64_t tokens);

    /// Ends the work before the guard's own end; a second end does nothing.
    void end();

private:
    forward_context& context;
    std::string incarnation;
    endpoint_load work;
    bool ended = false;
};

} // namespace radishstep::forward
