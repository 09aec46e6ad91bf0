#include "base/runtime_clock.h"

#include <atomic>

namespace radishstep {

namespace {

using rep = runtime_clock::rep;

std::atomic<bool> paused{false};
std::atomic<rep> paused_ticks{0};
std::atomic<rep> offset_ticks{0};

rep steady_ticks() noexcept
{
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<runtime_clock::duration>(since_start).count();
}

} // namespace

runtime_clock::time_point runtime_clock::now() noexcept
{
    const rep ticks = paused ? paused_ticks.load() : steady_ticks() + offset_ticks.load();
    return time_point{duration{ticks}};
}

void runtime_clock::pause() noexcept
{
    paused_ticks = now().time_since_epoch().count();
    paused = true;
}

void runtime_clock::advance(duration step) noexcept
{
    paused_ticks += step.count();
}

void runtime_clock::resume() noexcept
{
    offset_ticks = paused_ticks.load() - steady_ticks();
    paused = false;
}

bool runtime_clock::is_paused() noexcept
{
    return paused;
}

double to_ms(runtime_clock::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

std::int64_t wall_clock_ms()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

} // namespace radishstep
