#include "http/event_stream.h"

namespace radishstep::http {

namespace {

constexpr std::string_view event_end = "\n\n";

server_sent_event parse_event(std::string_view text)
{
    server_sent_event parsed;
    while (!text.empty()) {
        const std::string_view line = text.substr(0, text.find('\n'));
        text.remove_prefix(std::min(text.size(), line.size() + 1));
        const std::size_t colon = line.find(':');
        if (colon == std::string_view::npos)
            continue;
        const std::string_view name = line.substr(0, colon);
        std::string_view value = line.substr(colon + 1);
        if (value.starts_with(' '))
            value.remove_prefix(1);
        if (name == "id")
            parsed.id = value;
        else if (name == "event")
            parsed.event = value;
        else if (name == "data")
            parsed.data += value;
    }
    return parsed;
}

} // namespace

std::vector<server_sent_event> event_stream_reader::push(std::string_view bytes)
{
    std::vector<server_sent_event> events;
    this->pending += bytes;
    std::size_t start = 0;
    for (std::size_t end = this->pending.find(event_end); end != std::string::npos;
         end = this->pending.find(event_end, start)) {
        events.push_back(parse_event(std::string_view{this->pending}.substr(start, end - start)));
        start = end + event_end.size();
    }
    this->pending.erase(0, start);
    if (this->pending.size() > max_event_bytes) {
        this->failed = true;
        this->pending.clear();
    }
    return events;
}

} // namespace radishstep::http
