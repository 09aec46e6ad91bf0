#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace radishstep::http {

/// One header line.
struct header
{
    std::string name;
    std::string value;

    bool operator==(const header&) const = default;
};

using headers = std::vector<header>;

/// Returns the value of the first header called `name`, compared without case, or "".
std::string_view find_header(const headers& lines, std::string_view name);

/// A request with its whole body.
struct request
{
    std::string method = "GET";
    std::string target = "/";
    headers lines;
    std::string body;

    bool operator==(const request&) const = default;

    /// Returns the target without its query.
    std::string_view path() const;

    /// Returns the value of a query parameter as it was sent, or "".
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

/// Returns a response with a plain body.
response text_response(unsigned status, std::string body);

/// Returns the head of a response that is an event stream.
response event_stream_head();

/// Returns a response with a JSON body.
response json_response(unsigned status, std::string body);

/// What a server takes from a caller before it answers with a typed error.
struct server_limits
{
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 1024UL * 1024;
    std::chrono::milliseconds header_time{10'000};
    std::chrono::milliseconds body_time{30'000};
    std::chrono::milliseconds idle_time{60'000};
    std::chrono::milliseconds write_time{30'000};
    std::size_t connections = 10'000;

    bool operator==(const server_limits&) const = default;
};

} // namespace radishstep::http
