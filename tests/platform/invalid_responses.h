#pragma once

#include <functional>
#include <string>
#include <vector>

#include "standin_engine.h"

namespace radishstep::testing {

/// A response that breaks the rules of HTTP/1.1.
struct invalid_response
{
    std::string name;
    /// Returns the bytes of the response to a call, with a body that starts with `body`.
    std::function<std::string(const engine_call&, const std::string& body)> make;
};

/// Returns a response with an engine's headers; `status` is the text between the version and the reason, and `lines`
/// are whole lines, each with its end.
std::string raw_answer(const engine_call& call, const std::string& status, const std::string& lines,
                       const std::string& body);

/// Returns responses whose status is none, or one that only interim responses have.
std::vector<invalid_response> invalid_statuses();

/// Returns responses whose body has a transfer coding other than chunks, lenient_codings() among them.
std::vector<invalid_response> invalid_codings();

/// Returns responses whose transfer coding is invalid, but whose chunks a lenient reader would decode.
std::vector<invalid_response> lenient_codings();

/// Returns invalid_statuses() and invalid_codings().
std::vector<invalid_response> invalid_heads();

/// Returns responses whose head, length, chunks or trailers have a malformed line.
std::vector<invalid_response> malformed_lines();

} // namespace radishstep::testing
