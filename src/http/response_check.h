#pragma once

#include "base/error.h"
#include "http/message.h"

namespace radishstep::http {

/// Returns whether a response with this status ends its call: 200 to 599 (RFC 9110, section 15).
bool is_final_status(unsigned status);

/// Checks the head of a response after which its body is read. Returns a `protocol` error, and counts the response as
/// invalid, if
/// - its status is not that of a final response, or
/// - its body has a transfer coding other than chunks, once and without parameters (RFC 9112, sections 6.1 and 7.1). No
///   request allows another one by a TE header. `is_read_in_chunks` says whether the reader of the body decodes chunks.
result<void> check_response_head(const response& head, bool is_read_in_chunks);

} // namespace radishstep::http
