#pragma once

#include <chrono>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/wait_traits.hpp>

namespace radishstep {

/// The monotonic clock that all modules use. Tests pause it and advance it manually.
class runtime_clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock>;
    static constexpr bool is_steady = true;

    /// Returns the current time; while the clock is paused, the time of the pause plus all advances.
    static time_point now() noexcept;

    /// Stops the clock at the current time.
    static void pause() noexcept;

    /// Moves a paused clock forward by `step`.
    static void advance(duration step) noexcept;

    /// Lets a paused clock run again from its current time.
    static void resume() noexcept;

    /// Returns true while the clock is paused.
    static bool is_paused() noexcept;
};

using time_point = runtime_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// Returns `span` in fractional milliseconds.
double to_ms(runtime_clock::duration span);

/// Returns the wall clock in milliseconds since 1970, for timestamps shown to people.
std::int64_t wall_clock_ms();

} // namespace radishstep

/// Makes timers notice that a paused clock was advanced: while it is paused, they check it every millisecond.
template <>
struct boost::asio::wait_traits<radishstep::runtime_clock>
{
    static radishstep::runtime_clock::duration to_wait_duration(const radishstep::runtime_clock::duration& span)
    {
        constexpr std::chrono::milliseconds paused_poll_interval{1};
        if (radishstep::runtime_clock::is_paused() && span > paused_poll_interval)
            return paused_poll_interval;
        return span;
    }

    static radishstep::runtime_clock::duration to_wait_duration(const radishstep::runtime_clock::time_point& when)
    {
        const auto now = radishstep::runtime_clock::now();
        if (when <= now)
            return radishstep::runtime_clock::duration::zero();
        return to_wait_duration(when - now);
    }
};

namespace radishstep {

using timer = boost::asio::basic_waitable_timer<runtime_clock>;

} // namespace radishstep
