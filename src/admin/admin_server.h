#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/error.h"

namespace radishstep {

namespace http {
class server;
}

/// What a process shows to operators besides its metrics and events.
struct admin_hooks
{
    /// Returns the process' state as JSON.
    std::function<std::string()> status;
    /// Starts a graceful stop.
    std::function<void()> drain;
};

/// The operators' HTTP port of a process: GET /metrics, /status, /timeline; POST /drain.
class admin_server
{
public:
    static result<std::unique_ptr<admin_server>> open(const boost::asio::any_io_executor& executor,
                                                      const std::string& address, admin_hooks hooks);
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

private:
    explicit admin_server(std::unique_ptr<http::server> server);

    std::unique_ptr<http::server> server;
};

} // namespace radishstep
