#include "base/event_log.h"

#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/hybrid_clock.h"

namespace radishstep {

event_log::event_log(std::size_t capacity) : events(capacity) {}

void event_log::set_process_name(std::string name)
{
    const std::scoped_lock lock{this->mutex};
    this->process = std::move(name);
}

void event_log::record(std::string kind, std::string request, std::string detail)
{
    const std::scoped_lock lock{this->mutex};
    this->events.push_back(
        {process_clock().next(), this->process, std::move(kind), std::move(request), std::move(detail)});
}

std::vector<timeline_event> event_log::find(const timeline_query& query) const
{
    const std::scoped_lock lock{this->mutex};
    std::vector<timeline_event> found;
    for (const timeline_event& event : this->events) {
        if (event.stamp < query.since)
            continue;
        if (!query.request.empty() && event.request != query.request)
            continue;
        found.push_back(event);
        if (found.size() == query.limit)
            break;
    }
    return found;
}

event_log& process_events()
{
    static event_log log;
    return log;
}

std::string to_json_lines(const std::vector<timeline_event>& events)
{
    std::string text;
    for (const timeline_event& event : events) {
        const nlohmann::json line{{"stamp", event.stamp},
                                  {"process", event.process},
                                  {"kind", event.kind},
                                  {"request", event.request},
                                  {"detail", event.detail}};
        text += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    }
    return text;
}

std::vector<timeline_event> from_json_lines(const std::string& text)
{
    std::vector<timeline_event> events;
    std::istringstream lines{text};
    for (std::string line; std::getline(lines, line);) {
        const auto parsed = nlohmann::json::parse(line, nullptr, false);
        if (!parsed.is_object() || !parsed.contains("stamp"))
            continue;
        events.push_back({parsed.value("stamp", std::uint64_t{0}), parsed.value("process", ""),
                          parsed.value("kind", ""), parsed.value("request", ""), parsed.value("detail", "")});
    }
    return events;
}

} // namespace radishstep
