#pragma once

#include <string>

#include "http/message.h"
#include "platform_site.h"

namespace radishstep::testing {

/// Body of an invalid answer; no caller may get it.
inline const std::string invalid_body = "body of an invalid answer";

/// Returns an engine's answer with status 000 and, for a stream, all its events as its body.
std::string status_000(const engine_call& call);

/// One request of a caller, on a connection of its own.
struct raw_request
{
    std::string path = "/plain/1";
    std::string id = "attempt-1";
    std::string method = "POST";
    std::string body = "body";
    std::string last_event_id = {};
    http::headers extra_headers = {};
};

/// Returns the bytes of the request, after which the connection is closed.
std::string to_bytes(const raw_request& request);

/// Sends the request to a host's gateway and returns all bytes that its caller receives.
std::string send_raw(platform_site& site, const raw_request& request, std::size_t host = 0);

/// Returns how many calls with this id engines have run.
int runs_of(const platform_site& site, const std::string& id);

/// Returns what is wrong with the bytes that a caller received for one request, or "". It may get one
/// whole sound answer, the first events of its stream without an end, or a refusal by the router that does not say "not
/// run" if an engine has run the request. `may_break`: the connection may also end without a response.
std::string find_invalid_outcome(const platform_site& site, const std::string& received, const raw_request& request,
                                 bool may_break = false);

/// Returns whether the bytes are one whole sound answer of an engine.
bool is_sound_answer(const std::string& received, const raw_request& request);

} // namespace radishstep::testing
