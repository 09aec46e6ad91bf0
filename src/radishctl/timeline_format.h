#pragma once

#include <string>
#include <vector>

#include "base/event_log.h"

namespace radishstep {

/// Returns one line per event: time (ms), process, kind, request, detail.
std::string format_timeline_text(const std::vector<timeline_event>& events);

/// Returns the events in Chrome's trace event format (JSON): an instant event for each event, and a complete
/// event that spans the first to the last event of each request at each process.
std::string format_timeline_trace(const std::vector<timeline_event>& events);

} // namespace radishstep
