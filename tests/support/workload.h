#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "caller.h"
#include "site.h"

namespace radishstep::testing {

/// The load that a test puts on a site.
struct load_options
{
    int calls = 1'000;
    int concurrent_calls = 40;
    std::uint64_t seed = 1;
    int disconnect_percent = 0;
    int max_tokens = 16;
    /// Sends plain service calls in place of completions.
    bool plain = false;
    /// Percent of plain calls that are sent three times with the same idempotency key, each through a random ready
    /// host.
    int resend_percent = 0;
    int pause_ms = 0;
};

/// A call and its outcome.
struct call_record
{
    int host = 0;
    std::string prompt;
    std::string key;
    int max_tokens = 0;
    /// The caller was to disconnect before the end of the answer.
    bool left = false;
    call_outcome outcome;
    std::int64_t ended_ms = 0;
};

/// Sends calls through the hosts that report that they are ready, and returns one record for each call.
std::vector<call_record> run_load(site& running, const load_options& options);

/// Counts of calls by outcome.
struct load_summary
{
    int whole = 0;
    int wrong_text = 0;
    int refused_not_run = 0;
    int refused_may_have_run = 0;
    /// The caller disconnected before the end of the answer, as planned.
    int left = 0;
    /// The connection failed before the answer was complete.
    int broken = 0;
    /// The answer ended incomplete, without an error and without a connection failure.
    int cut_silently = 0;
    /// Calls by kind of error.
    std::map<std::string, int> kinds;
};

/// Counts the calls by outcome and compares the text of complete answers with the expected text.
load_summary summarise(const std::vector<call_record>& records);

/// Returns the summary as one line.
std::string describe(const load_summary& summary);

/// Returns the lines of the endpoints' run logs, split at spaces, each with the endpoint's name in front.
std::vector<std::vector<std::string>> read_run_logs(const site& running, const std::vector<std::string>& endpoints);

} // namespace radishstep::testing
