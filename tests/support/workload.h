#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "caller.h"
#include "site.h"

namespace radishstep::testing {

/// How a test loads a site.
struct load_options
{
    int calls = 1'000;
    int at_once = 40;
    std::uint64_t seed = 1;
    int leave_percent = 0;
    int max_tokens = 16;
    bool plain = false;
    /// Percent of plain calls that are sent again with the same key through another host.
    int resend_percent = 0;
    int pause_ms = 0;
};

/// One call and what came of it.
struct call_record
{
    int host = 0;
    std::string prompt;
    std::string key;
    int max_tokens = 0;
    bool left = false;
    call_outcome outcome;
    std::int64_t ended_ms = 0;
};

/// Sends calls through those hosts that say they are ready, and returns all records.
std::vector<call_record> run_load(site& running, const load_options& options);

/// The counts that a test prints.
struct load_summary
{
    int whole = 0;
    int wrong_text = 0;
    int refused_not_run = 0;
    int refused_may_have_run = 0;
    int left = 0;
    int broken = 0;
    int cut_silently = 0;
    std::map<std::string, int> kinds;
};

/// Returns the counts of a load of completions.
load_summary summarise(const std::vector<call_record>& records);

/// Returns the summary as one line.
std::string describe(const load_summary& summary);

/// Returns the lines of all endpoints' logs of what they ran, split at spaces.
std::vector<std::vector<std::string>> seen_lines(const site& running, const std::vector<std::string>& endpoints);

} // namespace radishstep::testing
