#include "base/log_writer.h"

#include <utility>

namespace radishstep {

log_writer::log_writer(std::function<void(const std::string&)> write, log_limits limits)
    : write(std::move(write)), limits(limits), thread([this] { this->run(); })
{
}

log_writer::~log_writer()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->stopping = true;
    }
    this->lines_available.notify_one();
    this->thread.join();
}

void log_writer::push(std::string line, bool is_state, time_point now)
{
    bool was_empty = false;
    {
        const std::scoped_lock lock{this->mutex};
        if (now >= this->second_start + std::chrono::seconds{1}) {
            this->second_start = now;
            this->lines_this_second = 0;
        }
        const bool is_over_rate = !is_state && ++this->lines_this_second > this->limits.max_lines_per_second;
        if (is_over_rate || this->lines.size() >= this->limits.max_queued_lines) {
            ++this->dropped;
            return;
        }
        was_empty = this->lines.empty();
        this->lines.push_back(std::move(line));
    }
    if (was_empty)
        this->lines_available.notify_one();
}

std::uint64_t log_writer::dropped_lines() const
{
    const std::scoped_lock lock{this->mutex};
    return this->dropped;
}

void log_writer::run()
{
    while (true) {
        std::deque<std::string> batch;
        std::uint64_t newly_dropped = 0;
        {
            std::unique_lock lock{this->mutex};
            this->lines_available.wait(lock, [this] { return this->stopping || !this->lines.empty(); });
            if (this->lines.empty())
                return;
            batch.swap(this->lines);
            newly_dropped = this->dropped - std::exchange(this->dropped_reported, this->dropped);
        }
        std::string text;
        for (const std::string& line : batch)
            text += line + "\n";
        if (newly_dropped > 0)
            text += "state=log_lines_left_out lines=" + std::to_string(newly_dropped) + "\n";
        text.pop_back();
        this->write(text);
    }
}

} // namespace radishstep
