#include "forward/event_relay.h"

#include <algorithm>
#include <utility>

#include "base/text.h"

namespace radishstep::forward {

namespace {

/// Returns the position after the empty line that ends the event at `start`, or npos if it is not there yet. Lines end
/// in LF or CR LF.
std::size_t find_event_end(std::string_view bytes, std::size_t start)
{
    constexpr std::string_view empty_line = "\n";
    constexpr std::string_view empty_crlf_line = "\r\n";
    for (std::size_t line_end = bytes.find('\n', start); line_end != std::string_view::npos;
         line_end = bytes.find('\n', line_end + 1)) {
        const std::string_view next_line = bytes.substr(line_end + 1);
        if (next_line.starts_with(empty_line))
            return line_end + 1 + empty_line.size();
        if (next_line.starts_with(empty_crlf_line))
            return line_end + 1 + empty_crlf_line.size();
    }
    return std::string_view::npos;
}

/// Returns the integer in the `id:` line of an event, if it has one.
std::optional<std::int64_t> event_id(std::string_view event)
{
    constexpr std::string_view id_prefix = "id:";
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with(id_prefix)) {
            line.remove_prefix(id_prefix.size());
            while (line.starts_with(' '))
                line.remove_prefix(1);
            if (line.ends_with('\r'))
                line.remove_suffix(1);
            return to_integer(line);
        }
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return std::nullopt;
}

} // namespace

std::string event_relay::push(std::string_view bytes)
{
    this->buffer.append(bytes);
    std::string new_events;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = find_event_end(this->buffer, start);
        if (end == std::string_view::npos)
            break;
        const std::string_view event{this->buffer.data() + start, end - start};
        start = end;
        const auto id = event_id(event);
        if (id && this->last_id && *id <= *this->last_id)
            continue;
        if (id)
            this->last_id = id;
        new_events.append(event);
        ++this->relayed_events;
    }
    this->buffer.erase(0, start);
    if (this->buffer.size() > max_event_bytes)
        this->has_oversized_event = true;
    return new_events;
}

void event_relay::discard_partial_event()
{
    this->buffer.clear();
}

bool event_relay::has_partial_event() const
{
    return std::ranges::any_of(this->buffer, [](char byte) { return byte != '\r' && byte != '\n'; });
}

std::string event_relay::take_remainder()
{
    return std::exchange(this->buffer, {});
}

} // namespace radishstep::forward
