#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace radishstep::http {

/// One server-sent event.
struct server_sent_event
{
    std::string id;
    std::string event;
    std::string data;

    bool operator==(const server_sent_event&) const = default;
};

/// Splits the bytes of an event stream into events. An event that grows past the limit is dropped
/// and makes the reader fail.
class event_stream_reader
{
public:
    static constexpr std::size_t max_event_bytes = 256UL * 1024;

    /// Takes the next bytes; returns the events that they complete.
    std::vector<server_sent_event> push(std::string_view bytes);

    /// Returns true once an event was too long.
    bool has_failed() const { return this->failed; }

private:
    std::string pending;
    bool failed = false;
};

} // namespace radishstep::http
