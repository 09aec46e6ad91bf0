#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace radishstep {

/// One entry of the timeline of requests and state changes.
struct timeline_event
{
    std::uint64_t stamp = 0;
    std::string process;
    std::string kind;
    std::string request;
    std::string detail;

    auto operator<=>(const timeline_event&) const = default;
};

/// The filter of a timeline request. Empty fields match all events.
struct timeline_query
{
    std::uint64_t since = 0;
    std::string request;
    std::size_t limit = 10'000;

    bool operator==(const timeline_query&) const = default;
};

/// A bounded log of the events of this process, stamped by the hybrid clock. Thread-safe.
class event_log
{
public:
    static constexpr std::size_t default_capacity = 20'000;

    explicit event_log(std::size_t capacity = default_capacity);

    /// Sets the process name that later events carry.
    void set_process_name(std::string name);

    /// Appends an event; a full log drops its oldest one.
    void record(std::string kind, std::string request, std::string detail);

    /// Returns the events that match `query`, oldest first.
    std::vector<timeline_event> find(const timeline_query& query) const;

private:
    mutable std::mutex mutex;
    std::string process;
    boost::circular_buffer<timeline_event> events;
};

/// Returns the event log of this process.
event_log& process_events();

/// Returns `events` as JSON lines, one object per event.
std::string to_json_lines(const std::vector<timeline_event>& events);

/// Returns the events in JSON lines; lines that are not an event are skipped.
std::vector<timeline_event> from_json_lines(const std::string& text);

} // namespace radishstep
