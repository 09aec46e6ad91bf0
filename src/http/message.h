#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "http/shared_body.h"

namespace radishstep::http {

/// One header line.
struct header
{
    std::string name;
    std::string value;

    bool operator==(const header&) const = default;
};

using headers = std::vector<header>;

/// Returns the value of the first header with this name (case-insensitive), or "".
std::string_view find_header(const headers& lines, std::string_view name);

/// A request with its whole body.
struct request
{
    std::string method = "GET";
    std::string target = "/";
    headers lines;
    shared_body body;

    bool operator==(const request&) const = default;

    /// Returns the target without its query.
    std::string_view path() const;

    /// Returns the value of a query parameter without percent-decoding, or "".
    std::string_view query(std::string_view name) const;
};

/// A response with its whole body.
struct response
{
    unsigned status = 200;
    headers lines;
    std::string body;

    bool operator==(const response&) const = default;
};

/// Returns a GET without a body.
request get_request(std::string target);

/// Returns a request with a JSON body.
request json_request(std::string method, std::string target, std::string body);

/// Returns a response with `body` and no headers.
response text_response(unsigned status, std::string body);

/// Returns the head of an event-stream response.
response event_stream_head();

/// Returns a response with a JSON body.
response json_response(unsigned status, std::string body);

/// Limits of a server. A request that exceeds a size limit or is not received within its timeouts is refused with a
/// typed error. A connection that is idle or blocks a write for too long, or is one more than `connections`, is
/// closed without a response.
struct server_limits
{
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 1024UL * 1024;
    std::chrono::milliseconds header_timeout{10'000};
    std::chrono::milliseconds body_timeout{30'000};
    std::chrono::milliseconds idle_timeout{60'000};
    std::chrono::milliseconds write_timeout{30'000};
    std::size_t connections = 10'000;

    bool operator==(const server_limits&) const = default;
};

} // namespace radishstep::http
