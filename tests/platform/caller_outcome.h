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
struct caller_request_form
{
    std::string path = "/plain/1";
    std::string id = "attempt-1";
    std::string method = "POST";
    std::string body = "body";
    std::string last_event_id = {};
    http::headers extra_headers = {};
};

/// Returns the bytes of the request, after which the connection is closed.
std::string to_bytes(const caller_request_form& form);

/// Sends the request to a host's gateway and returns all bytes that its caller receives.
std::string send_raw(platform_site& site, const caller_request_form& form, std::size_t host = 0);

/// Returns how many calls with this id engines have run.
int runs_of(const platform_site& site, const std::string& id);

/// Returns what a caller would be deceived by in the bytes that it received for one request, or "". It may get one
/// whole sound answer, the first events of its stream without an end, or a refusal by the router that does not say "not
/// run" if an engine has run the request. `may_break`: the connection may also end without a response.
std::string find_deceit(const platform_site& site, const std::string& received, const caller_request_form& form,
                        bool may_break = false);

/// Returns whether the bytes are one whole sound answer of an engine.
bool is_sound_answer(const std::string& received, const caller_request_form& form);

} // namespace radishstep::testing
