#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace radishstep {

using log_field = std::pair<std::string_view, std::string>;

/// Sets up logging to standard error for the process named `process`; `level` is a log4cplus level name.
void start_log(const std::string& process, const std::string& level);

/// Like start_log, but writes to standard output on a separate thread: when the log is read too slowly,
/// lines are dropped and the process is never blocked. Call stop_bounded_log before the process ends.
void start_bounded_log(const std::string& process, const std::string& level);

/// Writes the queued lines of the bounded log and ends its thread.
void stop_bounded_log();

/// Writes one line `state=NAME key=value ...` for a change of state; log_decision is for lines about requests.
void log_state(std::string_view state, std::initializer_list<log_field> fields);

/// Like log_state, at level WARN: for failures and degraded states.
void log_problem(std::string_view state, std::initializer_list<log_field> fields);

/// Writes one line `decision=NAME key=value ...` about a request; lines over the rate limit are
/// dropped and counted. Does nothing unless the bounded log was started.
void log_decision(std::string_view decision, std::initializer_list<log_field> fields);

/// Returns true for the sample of requests whose success is logged too.
bool is_sampled(std::string_view request_id);

} // namespace radishstep
