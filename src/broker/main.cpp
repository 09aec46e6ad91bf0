#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "admin/admin_server.h"
#include "base/event_log.h"
#include "base/log.h"
#include "base/supervisor.h"
#include "broker/broker_settings.h"
#include "broker/cells_duty.h"
#include "broker/membership_duty.h"
#include "broker/platform_duty.h"

namespace {

namespace asio = boost::asio;
using namespace radishstep;

int refuse_start(const error& failure)
{
    std::cerr << "radishstep-broker: " << describe(failure) << "\n";
    return EXIT_FAILURE;
}

/// Starts a graceful stop at the first signal; says at each further one what is still held.
void wait_for_stop(asio::signal_set& signals, cells_duty& cells)
{
    signals.async_wait([&signals, &cells](const boost::system::error_code& failure, int) {
        if (failure)
            return;
        log_state("stop_asked", {{"status", cells.status()}});
        cells.drain();
        wait_for_stop(signals, cells);
    });
}

int run(const broker_settings& settings)
{
    start_log("radishstep-broker/" + settings.host, settings.log_level);
    process_events().name_process("broker/" + settings.host);
    membership_ring membership_inbox{duty_ring_capacity};
    cells_ring cells_inbox{duty_ring_capacity};
    membership_duty membership{settings, wall_clock_ms(), membership_inbox, cells_inbox};
    platform_duty platform{settings, membership_inbox, cells_inbox};
    cells_duty cells{settings, cells_inbox, membership_inbox,
                     [&platform](bool watching) { platform.set_watching(watching); }};
    if (const auto opened = membership.open(); !opened)
        return refuse_start(opened.error());
    if (const auto opened = cells.open(); !opened)
        return refuse_start(opened.error());
    asio::io_context admin_context{1};
    const auto admin = admin_server::open(admin_context.get_executor(), settings.admin,
                                          {[&cells] { return cells.status(); }, [&cells] { cells.drain(); }});
    if (!admin)
        return refuse_start(admin.error());

    asio::io_context main_context{1};
    const auto admin_work = asio::make_work_guard(admin_context);
    const auto main_work = asio::make_work_guard(main_context);
    supervisor root{"broker"};
    root.on_give_up([&main_context](const std::string&) { main_context.stop(); });
    root.add_duty(
        "cells",
        [&] {
            cells.run();
            main_context.stop();
        },
        [&cells] { cells.stop(); });
    supervisor& helpers = root.add_child("helpers");
    helpers.add_duty(
        "membership", [&membership] { membership.run(); }, [&membership] { membership.stop(); });
    helpers.add_duty(
        "platform", [&platform] { platform.run(); }, [&platform] { platform.stop(); });
    helpers.add_duty(
        "admin", [&admin_context] { admin_context.run(); }, [&admin_context] { admin_context.stop(); });
    asio::signal_set signals{main_context, SIGTERM, SIGINT};
    wait_for_stop(signals, cells);
    root.start();
    log_state("started", {{"address", settings.address}, {"zone", settings.zone}});
    main_context.run();
    root.stop();
    log_state("stopped", {});
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto settings = read_broker_settings(argc, argv);
    if (!settings)
        return refuse_start(settings.error());
    if (settings->check_only) {
        std::cout << "settings are usable\n";
        return EXIT_SUCCESS;
    }
    return run(*settings);
}
