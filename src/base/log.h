#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace radishstep {

using log_field = std::pair<std::string_view, std::string>;

/// Sets up logging to standard error for the process called `process`; `level` is log4cplus' name.
void start_log(const std::string& process, const std::string& level);

/// Like start_log, but writes to standard output on a thread of its own: a slow reader of the log loses
/// lines and never holds up the process. Ends with stop_bounded_log.
void start_bounded_log(const std::string& process, const std::string& level);

/// Writes what is left of the bounded log.
void stop_bounded_log();

/// Writes one line `state=NAME key=value ...`. Meant for changes of state only.
void log_state(std::string_view state, std::initializer_list<log_field> fields);

/// Like log_state, for states that an operator has to act on.
void log_problem(std::string_view state, std::initializer_list<log_field> fields);

/// Writes one line `decision=NAME key=value ...` about a request; lines over the budget are left out
/// and counted. Does nothing unless the bounded log was started.
void log_decision(std::string_view decision, std::initializer_list<log_field> fields);

/// Returns true for the part of requests whose ordinary success gets a line.
bool is_sampled(std::string_view request_id);

} // namespace radishstep
