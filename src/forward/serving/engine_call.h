#pragma once

#include <memory>
#include <optional>

#include "forward/endpoints/endpoint.h"
#include "forward/gateway/forward_context.h"
#include "http/client.h"

namespace radishstep::forward {

/// A decode call that was sent to an engine, and the load that it puts on the engine.
struct engine_call
{
    endpoint target;
    std::unique_ptr<load_guard> load;
    /// Set when the call is sent.
    std::unique_ptr<open_call> connection;
    std::unique_ptr<http::body_stream> stream;
    /// Ends the call when the caller disconnects or the deadline passes.
    std::shared_ptr<http::call_abort> abort;
    time_point sent_at;
    /// The call hands a prefill result over, which is kept until the engine has taken it.
    bool uses_prefill = false;
    bool has_head = false;
    /// The relay has got bytes of this call, which go on after them.
    bool is_relaying = false;
    /// The engine is counted among those that ran the request.
    bool is_counted = false;
    /// When the first event of this call came.
    std::optional<time_point> first_event_at = std::nullopt;
    /// The answer has shown that the request does not crash its engine.
    bool is_shown_sound = false;
    /// Events that were relayed from this call.
    int events = 0;
    /// How often the engine has fallen silent.
    int silences = 0;
};

} // namespace radishstep::forward
