#pragma once

#include <boost/asio/awaitable.hpp>

#include "radishctl/command_context.h"

namespace radishstep {

/// These carry out "radishctl config ..."; each returns the exit code.
int config_check(const command_context& context);
boost::asio::awaitable<int> config_diff(command_context& context);
boost::asio::awaitable<int> config_apply(command_context& context);
boost::asio::awaitable<int> config_history(command_context& context);
boost::asio::awaitable<int> config_show(command_context& context);

} // namespace radishstep
