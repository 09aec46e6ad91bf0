#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace radishstep {

using log_field = std::pair<std::string_view, std::string>;

/// Sets up logging to standard error for the process called `process`; `level` is log4cplus' name.
void start_log(const std::string& process, const std::string& level);

/// Writes one line `state=NAME key=value ...`. Meant for changes of state only.
void log_state(std::string_view state, std::initializer_list<log_field> fields);

/// Like log_state, for states that an operator has to act on.
void log_problem(std::string_view state, std::initializer_list<log_field> fields);

} // namespace radishstep
