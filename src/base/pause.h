#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"

namespace radishstep {

/// Returns after `span` on the runtime clock, on the executor of the coroutine that awaits it.
boost::asio::awaitable<void> pause_for(runtime_clock::duration span);

} // namespace radishstep
