#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"

namespace radishstep {

/// Suspends the awaiting coroutine for `span` on the runtime clock; it resumes on its own executor.
boost::asio::awaitable<void> pause_for(runtime_clock::duration span);

/// Like pause_for, but ends early when `should_end` returns true, which is checked every 100 ms.
boost::asio::awaitable<void> pause_unless(std::function<bool()> should_end, runtime_clock::duration span);

/// Returns a random pause within the bounds, so that hosts that started together do not retry in step.
milliseconds jittered(milliseconds min_pause, milliseconds max_pause);

} // namespace radishstep
