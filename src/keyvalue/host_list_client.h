#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"

namespace radishstep {

namespace http {
class client;
}

/// A host as listed by the platform; the list lags behind the hosts' actual state.
struct listed_host
{
    std::string host;
    std::string address;
    bool is_router = false;
    bool is_leaving = false;

    bool operator==(const listed_host&) const = default;
};

/// Reads the platform's host list: GET /v1/hosts.
class host_list_client
{
public:
    host_list_client(http::client& http_client, std::string address);

    /// Returns all listed hosts, or `unavailable`.
    boost::asio::awaitable<result<std::vector<listed_host>>> fetch();

private:
    http::client& http_client;
    std::string address;
};

} // namespace radishstep
