#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "http/client.h"
#include "load/load_plan.h"

namespace radishstep::load {

/// What one call of a load saw. Times count from the planned arrival, so that a late start of the
/// load's own is part of the latency.
struct call_sample
{
    double at_s = 0;
    std::size_t client = 0;
    bool plain = false;
    bool batch = false;
    bool whole = false;
    bool refused = false;
    bool refused_not_run = false;
    double first_token_ms = 0;
    double total_ms = 0;
    double mean_token_ms = 0;
    int tokens = 0;
    std::string error_kind;

    bool operator==(const call_sample&) const = default;
};

/// Sends the calls of `plan` at their times over `calls` and returns what each saw.
boost::asio::awaitable<std::vector<call_sample>> run_load(http::client& calls, load_options options,
                                                          std::vector<planned_call> plan);

} // namespace radishstep::load
