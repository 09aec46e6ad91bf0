#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include <boost/circular_buffer.hpp>

namespace radishstep {

/// One entry of the time line.
struct timeline_event
{
    std::uint64_t stamp = 0;
    std::string process;
    std::string kind;
    std::string request;
    std::string detail;

    auto operator<=>(const timeline_event&) const = default;
};

/// Which events a reader of the time line wants. Empty fields match all.
struct timeline_query
{
    std::uint64_t since = 0;
    std::string request;
    std::size_t limit = 10'000;

    bool operator==(const timeline_query&) const = default;
};

/// The bounded record of what this process did, stamped by the hybrid clock. Safe on all threads.
class event_log
{
public:
    static constexpr std::size_t default_capacity = 20'000;

    explicit event_log(std::size_t capacity = default_capacity);

    /// Names the process whose events these are.
    void name_process(std::string name);

    /// Appends an event; the oldest one makes room when the log is full.
    void record(std::string kind, std::string request, std::string detail);

    /// Returns the events that match `query`, oldest first.
    std::vector<timeline_event> find(const timeline_query& query) const;

private:
    mutable std::mutex mutex;
    std::string process;
    boost::circular_buffer<timeline_event> events;
};

/// Returns the log that all modules of this process share.
event_log& process_events();

/// Returns one JSON object a line for `events`.
std::string to_json_lines(const std::vector<timeline_event>& events);

/// Returns the events of JSON lines; lines that are no event are left out.
std::vector<timeline_event> from_json_lines(const std::string& text);

} // namespace radishstep
