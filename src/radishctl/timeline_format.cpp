#include "radishctl/timeline_format.h"

#include <map>
#include <sstream>

#include <nlohmann/json.hpp>

#include "base/hybrid_clock.h"

namespace radishstep {

namespace {

constexpr std::uint64_t us_per_ms = 1'000;

std::uint64_t event_time_us(const timeline_event& event)
{
    return hybrid_clock::stamp_ms(event.stamp) * us_per_ms;
}

/// The times of the first and the last event of one request at one process.
struct request_span
{
    std::uint64_t first_us = 0;
    std::uint64_t last_us = 0;
};

} // namespace

std::string format_timeline_text(const std::vector<timeline_event>& events)
{
    std::ostringstream text;
    for (const timeline_event& event : events) {
        text << hybrid_clock::stamp_ms(event.stamp) << " " << event.process << " " << event.kind;
        if (!event.request.empty())
            text << " request=" << event.request;
        if (!event.detail.empty())
            text << " " << event.detail;
        text << "\n";
    }
    return text.str();
}

std::string format_timeline_trace(const std::vector<timeline_event>& events)
{
    nlohmann::json trace = nlohmann::json::array();
    std::map<std::pair<std::string, std::string>, request_span> request_spans;
    for (const timeline_event& event : events) {
        trace.push_back({{"name", event.kind},
                         {"ph", "i"},
                         {"s", "p"},
                         {"ts", event_time_us(event)},
                         {"pid", event.process},
                         {"tid", event.request},
                         {"args", {{"detail", event.detail}}}});
        if (event.request.empty())
            continue;
        request_span& bounds = request_spans[{event.process, event.request}];
        if (bounds.first_us == 0)
            bounds.first_us = event_time_us(event);
        bounds.last_us = event_time_us(event);
    }
    for (const auto& [key, bounds] : request_spans) {
        trace.push_back({{"name", key.second},
                         {"ph", "X"},
                         {"ts", bounds.first_us},
                         {"dur", bounds.last_us - bounds.first_us},
                         {"pid", key.first},
                         {"tid", key.second}});
    }
    return nlohmann::json{{"traceEvents", trace}}.dump() + "\n";
}

} // namespace radishstep
