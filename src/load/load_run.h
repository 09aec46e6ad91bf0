#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "http/client.h"
#include "load/load_plan.h"

namespace radishstep::load {

/// The outcome of one call. Latencies count from the planned arrival, so that a late start by
/// the load generator itself is part of them.
struct call_sample
{
    double at_s = 0;
    std::size_t client = 0;
    bool plain = false;
    bool batch = false;
    /// The answer arrived completely.
    bool whole = false;
    /// The call was answered with an error, as a response or as an event within the stream.
    bool refused = false;
    /// The error states that no engine ran the request.
    bool refused_not_run = false;
    double first_token_ms = 0;
    double total_ms = 0;
    /// Mean time between tokens after the first.
    double mean_token_ms = 0;
    int tokens = 0;
    std::string error_kind;

    bool operator==(const call_sample&) const = default;
};

/// Sends each call of `plan` at its arrival time (open loop) and returns one sample per call, in the order of `plan`.
boost::asio::awaitable<std::vector<call_sample>> run_load(http::client& http_client, load_options options,
                                                          std::vector<planned_call> plan);

} // namespace radishstep::load
