#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "standin_engine.h"

namespace radishstep::testing {

/// A caller's request to a host and what became of it.
struct noted_request
{
    std::size_t host = 0;
    time_point sent_at;
    time_point ended_at;
    bool has_disconnected = false;
    /// Id of the engine whose complete answer said that it is leaving; empty if none did.
    std::string leaving_engine;
};

/// Checks that engines which say in their answers that they are leaving, or want a pause, get no more calls from a host
/// than they may.
class notice_checker
{
public:
    /// A leaving engine gets no request that its caller sent later than this after the host passed on its answer.
    static constexpr milliseconds drain_time{2'000};
    /// After a refusal with a pause, calls that are under way may arrive for this time, and later only a few more.
    static constexpr milliseconds under_way_time{500};
    static constexpr std::size_t max_calls_in_pause = 2;

    void record_request(const std::string& id, const noted_request& request);

    /// Records that a host was started, stopped, paused or resumed.
    void record_host_fault(std::size_t host);

    /// Records the state of the link to an engine.
    void record_link(const std::string& engine_id, bool is_faulty);

    /// Returns one line for each host and rule that was broken at an engine; `calls` are all calls that it received.
    std::vector<std::string> check(const std::string& engine_id, const std::vector<engine_call>& calls) const;

    /// Returns how many answers of leaving engines were passed on, and how many refusals with a pause reached a host.
    std::size_t notices_checked(const std::string& engine_id, const std::vector<engine_call>& calls) const;

private:
    struct link_change
    {
        time_point at;
        bool is_faulty = false;
    };

    const noted_request* find_request(const std::string& id) const;
    std::size_t late_calls(const engine_call& answered, const noted_request& heard,
                           const std::vector<engine_call>& calls) const;
    std::size_t calls_in_pause(const engine_call& refused, const noted_request& heard,
                               const std::vector<engine_call>& calls) const;
    bool was_host_disturbed(std::size_t host, time_point begin, time_point end) const;
    bool was_link_disturbed(const std::string& engine_id, time_point begin, time_point end) const;

    std::map<std::string, noted_request> requests;
    std::multimap<std::size_t, time_point> host_faults;
    std::map<std::string, std::vector<link_change>> link_changes;
};

} // namespace radishstep::testing
