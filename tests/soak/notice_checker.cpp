#include "notice_checker.h"

#include <algorithm>

namespace radishstep::testing {

namespace {

milliseconds pause_length(const engine_call& refused)
{
    constexpr double ms_per_second = 1'000;
    return milliseconds{static_cast<milliseconds::rep>(std::stod(*refused.asked_pause) * ms_per_second)};
}

} // namespace

void notice_checker::record_request(const std::string& id, const noted_request& request)
{
    this->requests.insert_or_assign(id, request);
}

void notice_checker::record_host_fault(std::size_t host)
{
    this->host_faults.emplace(host, runtime_clock::now());
}

void notice_checker::record_link(const std::string& engine_id, bool is_faulty)
{
    this->link_changes[engine_id].push_back({runtime_clock::now(), is_faulty});
}

std::vector<std::string> notice_checker::check(const std::string& engine_id,
                                               const std::vector<engine_call>& calls) const
{
    std::map<std::size_t, std::string> after_leaving;
    std::map<std::size_t, std::string> in_pause;
    for (const engine_call& call : calls) {
        const noted_request* heard = this->find_request(call.id);
        if (heard == nullptr || heard->has_disconnected)
            continue;
        const std::string where = "endpoint " + engine_id + ", host " + std::to_string(heard->host) + ": ";
        if (heard->leaving_engine == engine_id && this->late_calls(call, *heard, calls) > 0)
            after_leaving.emplace(heard->host, where + "new requests after the answer to " + call.id +
                                                   " said that the endpoint is leaving");
        if (!call.asked_pause || this->was_link_disturbed(engine_id, call.received_at - under_way_time,
                                                          call.received_at + pause_length(call)))
            continue;
        const std::size_t extra_calls = this->calls_in_pause(call, *heard, calls);
        if (extra_calls > max_calls_in_pause)
            in_pause.emplace(heard->host, where + std::to_string(extra_calls) +
                                              " calls in the pause that the answer to " + call.id + " asked for");
    }
    std::vector<std::string> findings;
    for (const auto& by_host : {after_leaving, in_pause}) {
        for (const auto& [host, finding] : by_host)
            findings.push_back(finding);
    }
    return findings;
}

std::size_t notice_checker::notices_checked(const std::string& engine_id, const std::vector<engine_call>& calls) const
{
    return static_cast<std::size_t>(std::ranges::count_if(calls, [&](const engine_call& call) {
        const noted_request* heard = this->find_request(call.id);
        return heard != nullptr && !heard->has_disconnected && (heard->leaving_engine == engine_id || call.asked_pause);
    }));
}

const noted_request* notice_checker::find_request(const std::string& id) const
{
    const auto found = this->requests.find(id);
    return found == this->requests.end() ? nullptr : &found->second;
}

std::size_t notice_checker::late_calls(const engine_call& answered, const noted_request& heard,
                                       const std::vector<engine_call>& calls) const
{
    return static_cast<std::size_t>(std::ranges::count_if(calls, [&](const engine_call& call) {
        const noted_request* later = this->find_request(call.id);
        return later != nullptr && later->host == heard.host && call.started_ms == answered.started_ms &&
               later->sent_at > heard.ended_at + drain_time &&
               !this->was_host_disturbed(heard.host, heard.sent_at, call.received_at);
    }));
}

std::size_t notice_checker::calls_in_pause(const engine_call& refused, const noted_request& heard,
                                           const std::vector<engine_call>& calls) const
{
    const time_point end = refused.received_at + pause_length(refused);
    if (this->was_host_disturbed(heard.host, heard.sent_at, end))
        return 0;
    return static_cast<std::size_t>(std::ranges::count_if(calls, [&](const engine_call& call) {
        const noted_request* later = this->find_request(call.id);
        return later != nullptr && later->host == heard.host && call.started_ms == refused.started_ms &&
               call.received_at > refused.received_at + under_way_time && call.received_at < end;
    }));
}

bool notice_checker::was_host_disturbed(std::size_t host, time_point begin, time_point end) const
{
    const auto [first, last] = this->host_faults.equal_range(host);
    return std::any_of(first, last, [&](const auto& fault) { return fault.second >= begin && fault.second <= end; });
}

bool notice_checker::was_link_disturbed(const std::string& engine_id, time_point begin, time_point end) const
{
    const auto found = this->link_changes.find(engine_id);
    if (found == this->link_changes.end())
        return false;
    bool is_faulty = false;
    for (const link_change& change : found->second) {
        if (change.at <= begin)
            is_faulty = change.is_faulty;
        else if (change.at <= end)
            is_faulty = is_faulty || change.is_faulty;
    }
    return is_faulty;
}

} // namespace radishstep::testing
