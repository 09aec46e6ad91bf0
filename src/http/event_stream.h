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

/// Parses an event stream incrementally. Once an incomplete event exceeds `max_event_bytes`, the buffered bytes are
/// dropped and the reader has failed.
class event_stream_reader
{
public:
    static constexpr std::size_t max_event_bytes = 256UL * 1024;

    /// Appends the next bytes of the stream and returns the events that they complete.
    std::vector<server_sent_event> push(std::string_view bytes);

    /// Returns true once an event has exceeded `max_event_bytes`.
    bool has_failed() const { return this->failed; }

private:
    std::string pending;
    bool failed = false;
};

} // namespace radishstep::http
