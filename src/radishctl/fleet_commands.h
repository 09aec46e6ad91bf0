#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "radishctl/command_context.h"

namespace radishstep {

/// These carry out the commands that ask running processes; each returns the exit code.
boost::asio::awaitable<int> fleet_status(command_context& context);
boost::asio::awaitable<int> fleet_timeline(command_context& context);
boost::asio::awaitable<int> drain_process(command_context& context);

/// Returns the hosts whose configuration is older than `version` or that do not answer.
boost::asio::awaitable<result<std::vector<std::string>>> hosts_behind(command_context& context, std::int64_t version);

} // namespace radishstep
