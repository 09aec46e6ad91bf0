#pragma once

#include <string>
#include <vector>

#include "base/event_log.h"

namespace radishstep {

/// Returns one line an event: time, process, kind, request, detail.
std::string timeline_text(const std::vector<timeline_event>& events);

/// Returns the events in Chrome's trace format: an instant for each event, a span for each request.
std::string timeline_trace(const std::vector<timeline_event>& events);

} // namespace radishstep
