#pragma once

#include "base/error.h"
#include "http/message.h"

namespace radishstep::http {

/// Checks the head of a response after which its body is read. Returns a `protocol` error, and counts the response as
/// invalid, if its status is not that of a final response, 200 to 599 (RFC 9110, section 15).
result<void> check_response_head(const response& head);

} // namespace radishstep::http
