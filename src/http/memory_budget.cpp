#include "http/memory_budget.h"

#include <utility>

#include "base/log.h"
#include "base/metrics.h"

namespace radishstep::http {

memory_budget::memory_budget(memory_limits limits) : limits(limits) {}

memory_budget::holder_id memory_budget::add(std::function<void()> on_end)
{
    const holder_id id = ++this->last_id;
    this->holders[id].on_end = std::move(on_end);
    return id;
}

void memory_budget::remove(holder_id id)
{
    const auto found = this->holders.find(id);
    if (found == this->holders.end())
        return;
    this->set_bytes(found->second, 0);
    this->holders.erase(found);
}

memory_verdict memory_budget::request(holder_id id, std::size_t bytes, time_point now)
{
    holder& asking = this->holders.at(id);
    if (asking.is_ended)
        return memory_verdict::refused;
    if (bytes <= asking.bytes || this->has_room(asking, bytes)) {
        // The time of the wait was not the peer's.
        if (asking.waiting_since && asking.transfer_start)
            *asking.transfer_start += now - *asking.waiting_since;
        asking.waiting_since.reset();
        this->set_bytes(asking, bytes);
        return memory_verdict::granted;
    }
    if (!asking.waiting_since) {
        asking.waiting_since = now;
        count("radishstep_http_memory_waits_total");
    }
    if (now >= *asking.waiting_since + this->limits.max_wait) {
        count("radishstep_http_memory_refusals_total");
        log_decision("memory_refused", {{"needed", std::to_string(bytes)}, {"held", std::to_string(this->total)}});
        return memory_verdict::refused;
    }
    this->end_slowest(id, now);
    return memory_verdict::wait;
}

bool memory_budget::hold(holder_id id, std::size_t bytes, time_point now)
{
    holder& changed = this->holders.at(id);
    const bool fits = bytes <= changed.bytes || this->has_room(changed, bytes);
    this->set_bytes(changed, bytes);
    if (!fits)
        this->end_slowest(id, now);
    return fits;
}

void memory_budget::start_transfer(holder_id id, time_point now)
{
    holder& moving = this->holders.at(id);
    moving.transfer_start = now;
    moving.transferred = 0;
}

void memory_budget::end_transfer(holder_id id)
{
    this->holders.at(id).transfer_start.reset();
}

void memory_budget::record_progress(holder_id id, std::size_t bytes)
{
    this->holders.at(id).transferred += bytes;
}

bool memory_budget::has_room(const holder& asking, std::size_t bytes) const
{
    if (this->limits.bytes == 0)
        return true;
    const bool is_large = bytes > this->limits.small_bytes;
    const std::size_t bound = is_large ? this->limits.bytes - this->limits.bytes / 4 : this->limits.bytes;
    return this->total - this->ending - asking.bytes + bytes <= bound;
}

void memory_budget::set_bytes(holder& changed, std::size_t bytes)
{
    this->total += bytes - changed.bytes;
    if (changed.is_ended)
        this->ending += bytes - changed.bytes;
    changed.bytes = bytes;
}

void memory_budget::end_slowest(holder_id asking, time_point now)
{
    holder* slowest = nullptr;
    for (auto& [id, candidate] : this->holders) {
        const bool is_judged = id != asking && !candidate.is_ended && !candidate.waiting_since &&
                               candidate.transfer_start && now >= *candidate.transfer_start + this->limits.grace;
        if (!is_judged || this->bytes_per_second(candidate, now) >= static_cast<double>(this->limits.min_rate))
            continue;
        if (!slowest || this->bytes_per_second(candidate, now) < this->bytes_per_second(*slowest, now))
            slowest = &candidate;
    }
    if (!slowest)
        return;
    slowest->is_ended = true;
    this->ending += slowest->bytes;
    count("radishstep_http_memory_ended_total");
    log_decision("memory_holder_ended", {{"bytes", std::to_string(slowest->bytes)},
                                         {"transferred", std::to_string(slowest->transferred)},
                                         {"held", std::to_string(this->total)}});
    if (slowest->on_end)
        std::exchange(slowest->on_end, nullptr)();
}

double memory_budget::bytes_per_second(const holder& moving, time_point now) const
{
    constexpr double ms_per_second = 1'000;
    return static_cast<double>(moving.transferred) * ms_per_second / to_ms(now - *moving.transfer_start);
}

} // namespace radishstep::http
