#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "admin/admin_server.h"
#include "base/error.h"
#include "base/supervisor.h"

namespace radishstep {

/// Runs a process: its main duty, helper duties beside it and the operators' port, until the main duty
/// returns. SIGTERM and SIGINT call a hook; they end nothing by themselves.
class process_runner
{
public:
    explicit process_runner(const std::string& name);

    /// Opens the operators' port, or says why it cannot.
    result<void> open_admin(const std::string& address, admin_hooks hooks);

    /// Adds a duty beside the main one.
    void add_helper(std::string name, std::function<void()> run, std::function<void()> stop);

    /// Runs everything and returns the process' exit code when the main duty has returned.
    int run(std::function<void()> main_duty, std::function<void()> stop_main, std::function<void()> on_stop_signal);

private:
    boost::asio::io_context main_context{1};
    boost::asio::io_context admin_context{1};
    std::unique_ptr<admin_server> admin;
    supervisor root;
    supervisor& helpers;
};

/// Prints why a program cannot start and returns its exit code.
int refuse_start(const std::string& program, const error& failure);

} // namespace radishstep
