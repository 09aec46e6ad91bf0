#include "admin/process_runner.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include "base/log.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

/// Calls the hook at every signal of the set, until the set is destroyed.
void handle_stop_signals(asio::signal_set& signals, const std::function<void()>& on_stop_signal)
{
    signals.async_wait([&signals, &on_stop_signal](const boost::system::error_code& failure, int) {
        if (failure)
            return;
        on_stop_signal();
        handle_stop_signals(signals, on_stop_signal);
    });
}

} // namespace

process_runner::process_runner(const std::string& name) : root(name), helpers(this->root.add_child("helpers"))
{
    std::signal(SIGPIPE, SIG_IGN);
    this->add_helper_duty(
        "admin",
        [this] {
            const auto work_guard = asio::make_work_guard(this->admin_context);
            this->admin_context.run();
        },
        [this] { this->admin_context.stop(); });
}

result<void> process_runner::open_admin(const std::string& address, admin_hooks hooks)
{
    auto server = admin_server::open(this->admin_context.get_executor(), address, std::move(hooks));
    if (!server)
        return tl::unexpected{server.error()};
    this->admin = std::move(*server);
    return {};
}

void process_runner::add_helper_duty(std::string name, std::function<void()> run, std::function<void()> stop)
{
    this->helpers.add_duty(std::move(name), std::move(run), std::move(stop));
}

int process_runner::run(std::function<void()> main_duty, std::function<void()> stop_main_duty,
                        std::function<void()> on_stop_signal)
{
    const auto work_guard = asio::make_work_guard(this->main_context);
    this->root.on_give_up([this](const std::string&) { this->main_context.stop(); });
    auto run_main_duty = [this, main_duty = std::move(main_duty)] {
        main_duty();
        this->main_context.stop();
    };
    this->root.add_duty("main", std::move(run_main_duty), std::move(stop_main_duty));
    asio::signal_set signals{this->main_context, SIGTERM, SIGINT};
    handle_stop_signals(signals, on_stop_signal);
    this->root.start();
    log_state("started", {});
    this->main_context.run();
    this->root.stop();
    log_state("stopped", {});
    return EXIT_SUCCESS;
}

int report_start_failure(const std::string& program, const error& failure)
{
    std::cerr << program << ": " << describe(failure) << "\n";
    return EXIT_FAILURE;
}

} // namespace radishstep
