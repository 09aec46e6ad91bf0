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

/// Limits of a process' log.
struct log_limits
{
    /// Decision lines over this rate are dropped; state changes are not rate-limited.
    std::size_t max_lines_per_second = 400;
    /// Lines of any kind that are queued while the log is read slowly; further lines are dropped.
    std::size_t max_queued_lines = 2'000;

    bool operator==(const log_limits&) const = default;
};

/// Writes lines on a separate thread, so that a slow log reader causes dropped lines but never blocks
/// the caller. A separate line reports how many lines were dropped.
class log_writer
{
public:
    log_writer(std::function<void(const std::string&)> write, log_limits limits);
    ~log_writer();
    log_writer(const log_writer&) = delete;
    log_writer& operator=(const log_writer&) = delete;

    /// Queues a line; `is_state` lines do not count toward the rate limit.
    void push(std::string line, bool is_state, time_point now);

    /// Returns how many lines were dropped so far.
    std::uint64_t dropped_lines() const;

private:
    void run();

    std::function<void(const std::string&)> write;
    log_limits limits;
    mutable std::mutex mutex;
    std::condition_variable lines_available;
    std::deque<std::string> lines;
    time_point second_start;
    std::size_t lines_this_second = 0;
    std::uint64_t dropped = 0;
    std::uint64_t dropped_reported = 0;
    bool stopping = false;
    std::thread thread;
};

} // namespace radishstep
