#include "base/log_writer.h"

#include <utility>

namespace radishstep {

log_writer::log_writer(std::function<void(const std::string&)> write, log_bounds bounds)
    : write(std::move(write)), bounds(bounds), thread([this] { this->run(); })
{
}

log_writer::~log_writer()
{
    {
        const std::scoped_lock lock{this->mutex};
        this->stopping = true;
    }
    this->filled.notify_one();
    this->thread.join();
}

void log_writer::push(std::string line, bool is_state, time_point now)
{
    bool wakes = false;
    {
        const std::scoped_lock lock{this->mutex};
        if (now >= this->second_start + std::chrono::seconds{1}) {
            this->second_start = now;
            this->in_second = 0;
        }
        const bool is_over_rate = !is_state && ++this->in_second > this->bounds.lines_per_second;
        if (is_over_rate || this->lines.size() >= this->bounds.waiting_lines) {
            ++this->dropped;
            return;
        }
        wakes = this->lines.empty();
        this->lines.push_back(std::move(line));
    }
    if (wakes)
        this->filled.notify_one();
}

std::uint64_t log_writer::left_out() const
{
    const std::scoped_lock lock{this->mutex};
    return this->dropped;
}

void log_writer::run()
{
    while (true) {
        std::deque<std::string> batch;
        std::uint64_t missing = 0;
        {
            std::unique_lock lock{this->mutex};
            this->filled.wait(lock, [this] { return this->stopping || !this->lines.empty(); });
            if (this->lines.empty())
                return;
            batch.swap(this->lines);
            missing = this->dropped - std::exchange(this->reported, this->dropped);
        }
        std::string text;
        for (const std::string& line : batch)
            text += line + "\n";
        if (missing > 0)
            text += "state=log_lines_left_out lines=" + std::to_string(missing) + "\n";
        text.pop_back();
        this->write(text);
    }
}

} // namespace radishstep
