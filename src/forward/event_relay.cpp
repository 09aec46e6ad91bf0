#include "forward/event_relay.h"

#include <utility>

#include "base/text.h"

namespace radishstep::forward {

namespace {

constexpr std::string_view event_end = "\n\n";

/// Returns the number in the event's id line, if it has one.
std::optional<std::int64_t> event_number(std::string_view event)
{
    constexpr std::string_view id_start = "id:";
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        if (line.starts_with(id_start)) {
            line.remove_prefix(id_start.size());
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
    this->pending.append(bytes);
    std::string ready;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = this->pending.find(event_end, start);
        if (end == std::string::npos)
            break;
        const std::string_view event{this->pending.data() + start, end + event_end.size() - start};
        start = end + event_end.size();
        const auto number = event_number(event);
        if (number && this->last && *number <= *this->last)
            continue;
        if (number)
            this->last = number;
        ready.append(event);
        ++this->passed;
    }
    this->pending.erase(0, start);
    if (this->pending.size() > max_event_bytes)
        this->broken = true;
    return ready;
}

void event_relay::discard_partial_event()
{
    this->pending.clear();
}

std::string event_relay::take_remainder()
{
    return std::exchange(this->pending, {});
}

} // namespace radishstep::forward
