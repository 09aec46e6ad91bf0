#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "radishctl/command_context.h"

namespace radishstep {

// The commands that query or drain running processes; each returns the exit code.

/// Prints the state of all hosts, their cells and endpoints.
boost::asio::awaitable<int> fleet_status(command_context& context);
/// Prints the events of all processes in the order of their time stamps.
boost::asio::awaitable<int> fleet_timeline(command_context& context);
/// Starts a graceful shutdown of the process with the given admin address.
boost::asio::awaitable<int> drain_process(command_context& context);

/// Returns the hosts whose broker has an older configuration than `version` or does not answer.
boost::asio::awaitable<result<std::vector<std::string>>> find_outdated_hosts(command_context& context,
                                                                             std::int64_t version);

} // namespace radishstep
