#pragma once

#include <boost/asio/awaitable.hpp>

#include "radishctl/command_context.h"

namespace radishstep {

// The commands "radishctl config ..."; each returns the exit code.

/// Checks the files of each site.
int config_check(const command_context& context);
/// Prints how the files differ from the configuration in force.
boost::asio::awaitable<int> config_diff(command_context& context);
/// Checks the files, replaces the configuration in force unless it was changed meanwhile, and waits until all
/// hosts have applied it.
boost::asio::awaitable<int> config_apply(command_context& context);
/// Prints version, time, author and note of every version.
boost::asio::awaitable<int> config_history(command_context& context);
/// Prints the configuration in force.
boost::asio::awaitable<int> config_show(command_context& context);

} // namespace radishstep
