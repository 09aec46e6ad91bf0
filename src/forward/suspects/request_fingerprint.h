#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"

namespace radishstep::forward {

/// Returns whether a header may differ between two attempts of one request.
using attempt_header_filter = std::function<bool(const std::string& name)>;

/// Returns two fingerprints by which other attempts of a request are recognized: of what is asked (method, host,
/// target, prompt and body), and of that together with the headers that the filter leaves, which tell callers apart.
std::vector<std::string> request_fingerprints(const http::request& request, std::string_view prompt,
                                              const attempt_header_filter& is_attempt_header);

/// Returns whether the text is a fingerprint. The id of a prompt's part must not look like one.
bool is_request_fingerprint(std::string_view text);

} // namespace radishstep::forward
