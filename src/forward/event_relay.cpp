#include "forward/event_relay.h"

#include <utility>

#include "base/text.h"

namespace radishstep::forward {

namespace {

constexpr std::string_view event_separator = "\n\n";

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
        const std::size_t end = this->buffer.find(event_separator, start);
        if (end == std::string::npos)
            break;
        const std::string_view event{this->buffer.data() + start, end + event_separator.size() - start};
        start = end + event_separator.size();
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

std::string event_relay::take_remainder()
{
    return std::exchange(this->buffer, {});
}

} // namespace radishstep::forward
