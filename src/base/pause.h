#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"

namespace radishstep {

/// Returns after `span` on the runtime clock, on the executor of the coroutine that awaits it.
boost::asio::awaitable<void> pause_for(runtime_clock::duration span);

/// The same, but returns within 100 ms once `is_over` says so.
boost::asio::awaitable<void> pause_unless(std::function<bool()> is_over, runtime_clock::duration span);

/// Returns a random pause between the two, so that hosts which began together do not go on together.
milliseconds jittered(milliseconds shortest, milliseconds longest);

} // namespace radishstep
