#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"

namespace radishstep {

namespace http {
class client;
}

/// A host as the platform's lagging list shows it.
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
    host_list_client(http::client& calls, std::string address);

    /// Returns the list, or `unavailable`.
    boost::asio::awaitable<result<std::vector<listed_host>>> fetch();

private:
    http::client& calls;
    std::string address;
};

} // namespace radishstep
