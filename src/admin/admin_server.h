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

/// Hooks through which the admin server reads and drains its process.
struct admin_hooks
{
    /// Returns the state of the process as JSON, for GET /status.
    std::function<std::string()> status;
    /// Starts a graceful shutdown, for POST /drain.
    std::function<void()> drain;
};

/// HTTP server for the operators of a process. It serves GET /metrics, GET /status, GET /timeline and POST /drain.
class admin_server
{
public:
    /// Listens on `address` and starts serving; returns the server, or an error when it cannot listen.
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
