#include "forward/endpoints/connection_breaks.h"

#include <algorithm>
#include <utility>

namespace radishstep::forward {

void connection_breaks::add(const std::string& incarnation, time_point sent_at)
{
    this->open[incarnation].insert(sent_at);
}

void connection_breaks::remove(const std::string& incarnation, time_point sent_at)
{
    const auto calls = this->open.find(incarnation);
    if (calls == this->open.end())
        return;
    if (const auto ended = calls->second.find(sent_at); ended != calls->second.end())
        calls->second.erase(ended);
    if (calls->second.empty())
        this->open.erase(calls);
}

void connection_breaks::record_break(const std::string& incarnation, time_point sent_at, time_point now)
{
    this->remove(incarnation, sent_at);
    std::erase_if(this->broken, [now](const broken_call& each) { return each.broken_at + break_lifetime < now; });
    this->broken.push_back({incarnation, sent_at, now});
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
    const bool has_survivor = calls != this->open.end() && *calls->second.begin() < together.front().broken_at;
    return has_old_call && !has_survivor;
}

open_call::open_call(connection_breaks& breaks, std::string incarnation, time_point sent_at)
    : breaks(breaks), incarnation(std::move(incarnation)), sent_at(sent_at)
{
    this->breaks.add(this->incarnation, this->sent_at);
}

open_call::~open_call()
{
    if (!this->is_broken)
        this->breaks.remove(this->incarnation, this->sent_at);
}

void open_call::break_off(time_point now)
{
    if (!std::exchange(this->is_broken, true))
        this->breaks.record_break(this->incarnation, this->sent_at, now);
}

} // namespace radishstep::forward
