#include "forward/endpoints/connection_breaks.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishstep::forward {

void connection_breaks::remove(open_call* call)
{
    const auto calls = this->open.find(call->incarnation);
    if (calls == this->open.end())
        return;
    calls->second.erase(call);
    if (calls->second.empty())
        this->open.erase(calls);
}

void connection_breaks::record_break(open_call* call, time_point now)
{
    this->remove(call);
    std::erase_if(this->broken, [now](const broken_call& each) { return each.broken_at + break_lifetime < now; });
    this->broken.push_back({call->incarnation, call->sent_at, now});
}

bool connection_breaks::has_ended(const std::string& incarnation, time_point now) const
{
    const auto is_of_endpoint = [&](const broken_call& each) { return each.incarnation == incarnation; };
    const auto last = std::ranges::find_if(this->broken.rbegin(), this->broken.rend(), is_of_endpoint);
    if (last == this->broken.rend() || last->broken_at + break_lifetime < now)
        return false;
    std::vector<broken_call> together;
    std::ranges::copy_if(this->broken, std::back_inserter(together), [&](const broken_call& each) {
        return last->broken_at - break_window <= each.broken_at && each.broken_at <= last->broken_at + break_window;
    });
    if (together.size() < min_broken_calls || !std::ranges::all_of(together, is_of_endpoint))
        return false;
    const bool has_old_call = std::ranges::any_of(
        together, [](const broken_call& each) { return each.sent_at + min_call_age <= each.broken_at; });
    const auto calls = this->open.find(incarnation);
    const bool has_survivor =
        calls != this->open.end() && std::ranges::any_of(calls->second, [&](const open_call* call) {
            return call->sent_at < together.front().broken_at;
        });
    return has_old_call && !has_survivor;
}

std::vector<open_call*> connection_breaks::silent_calls(time_point now) const
{
    std::vector<open_call*> silent;
    for (const auto& [incarnation, calls] : this->open) {
        std::ranges::copy_if(calls, std::back_inserter(silent), [now](const open_call* call) {
            return !call->knows_process_end && call->last_heard_at + silence_time <= now;
        });
    }
    return silent;
}

open_call::open_call(connection_breaks& breaks, std::string incarnation, time_point sent_at)
    : breaks(breaks), incarnation(std::move(incarnation)), sent_at(sent_at), last_heard_at(sent_at)
{
    this->breaks.open[this->incarnation].insert(this);
}

open_call::~open_call()
{
    if (!this->is_broken)
        this->breaks.remove(this);
}

void open_call::break_off(time_point now)
{
    if (!std::exchange(this->is_broken, true))
        this->breaks.record_break(this, now);
}

void open_call::tell_process_end(time_point ended_at)
{
    if (!std::exchange(this->knows_process_end, true) && this->on_process_end)
        this->on_process_end(ended_at);
}

} // namespace radishstep::forward
