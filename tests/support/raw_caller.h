#pragma once

#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "http/message.h"

namespace radishstep::testing {

/// A response as its caller received it, with whatever status stood in it.
struct raw_response
{
    /// The three digits of the status line.
    std::string status;
    http::headers lines;
    std::string body;
    bool is_complete = false;
};

/// Sends bytes to `address` on a connection of their own and returns everything received until the router closes it or
/// `timeout` has passed. Unlike http::client it takes any status.
std::string exchange_bytes(const std::string& address, const std::string& bytes,
                           milliseconds timeout = milliseconds{15'000});

/// Returns the responses that stand one behind another in `bytes`.
std::vector<raw_response> parse_responses(const std::string& bytes);

/// Returns the bytes of a request after which the connection is closed; its length is added.
std::string request_bytes(const std::string& method, const std::string& target, const http::headers& lines,
                          const std::string& body = "");

} // namespace radishstep::testing
