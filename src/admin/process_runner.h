#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "admin/admin_server.h"
#include "base/error.h"
#include "base/supervisor.h"

namespace radishstep {

/// Runs the main duty of a process, its helper duties and its admin server, each on a separate thread, until
/// the main duty returns. SIGTERM and SIGINT only call a hook, which may start a graceful shutdown.
class process_runner
{
public:
    explicit process_runner(const std::string& name);

    /// Starts the admin server on `address`; returns an error when it cannot listen.
    result<void> open_admin(const std::string& address, admin_hooks hooks);

    /// Adds a duty that runs beside the main duty: `run` returns when it is done; `stop`, called on another
    /// thread, makes `run` return.
    void add_helper_duty(std::string name, std::function<void()> run, std::function<void()> stop);

    /// Runs all duties until the main duty returns or the supervisor gives up; returns the exit code of the
    /// process. `on_stop_signal` runs at each SIGTERM and SIGINT.
    int run(std::function<void()> main_duty, std::function<void()> stop_main_duty,
            std::function<void()> on_stop_signal);

private:
    boost::asio::io_context main_context{1};
    boost::asio::io_context admin_context{1};
    std::unique_ptr<admin_server> admin;
    supervisor root;
    supervisor& helpers;
};

/// Prints why `program` cannot start and returns its exit code.
int report_start_failure(const std::string& program, const error& failure);

} // namespace radishstep
