#pragma once

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "base/runtime_clock.h"

namespace radishstep {

/// Bounds of a process' log.
struct log_bounds
{
    /// Lines a second, over which lines of decisions are left out; changes of state always count first.
    std::size_t lines_per_second = 400;
    /// Lines that wait while the reader of the log is slow.
    std::size_t waiting_lines = 2'000;

    bool operator==(const log_bounds&) const = default;
};

/// Writes lines on a thread of its own, so that a slow reader costs lines and never time. What was
/// left out is counted in a line of its own.
class log_writer
{
public:
    log_writer(std::function<void(const std::string&)> write, log_bounds bounds);
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /// Takes a line; `is_state` lines are not counted against the lines a second.
    void push(std::string line, bool is_state, time_point now);

    /// Returns how many lines were left out so far.
    std::uint64_t left_out() const;

private:
    void run();

    std::function<void(const std::string&)> write;
    log_bounds bounds;
    mutable std::mutex mutex;
    std::condition_variable filled;
    std::deque<std::string> lines;
    time_point second_start;
    std::size_t in_second = 0;
    std::uint64_t dropped = 0;
    std::uint64_t reported = 0;
    bool stopping = false;
    std::thread thread;
};

} // namespace radishstep
