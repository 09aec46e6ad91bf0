#include <csignal>
#include <cstdlib>
#include <iostream>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>

#include "admin/admin_server.h"
#include "base/event_log.h"
#include "base/log.h"
#include "base/supervisor.h"
#include "entry/broker_control.h"
#include "entry/entry_server.h"
#include "entry/entry_settings.h"

namespace {

namespace asio = boost::asio;
using namespace radishstep;

int refuse_start(const error& failure)
{
    std::cerr << "radishstep-entry: " << describe(failure) << "\n";
    return EXIT_FAILURE;
}

/// Starts a graceful stop at the first signal; says at each further one what is still held.
void wait_for_stop(asio::signal_set& signals, entry_server& server, const broker_control& control)
{
    signals.async_wait([&signals, &server, &control](const boost::system::error_code& failure, int) {
        if (failure)
            return;
        log_state("stop_asked", {{"in_progress", std::to_string(server.in_progress())},
                                 {"open_permits", std::to_string(control.open_count())}});
        server.drain();
        wait_for_stop(signals, server, control);
    });
}

std::string status_json(const entry_settings& settings, const entry_server& server, const broker_control& control)
{
    return nlohmann::json{{"process", "entry"},
                          {"host", settings.host},
                          {"zone", settings.zone},
                          {"ready", server.is_ready()},
                          {"in_progress", server.in_progress()},
                          {"open_permits", control.open_count()}}
        .dump();
}

int run(const entry_settings& settings)
{
    start_log("radishstep-entry/" + settings.host, settings.log_level);
    process_events().name_process("entry/" + settings.host);
    const std::int64_t incarnation = wall_clock_ms();
    control_ring control_inbox{ring_capacity};
    traffic_ring traffic_inbox{ring_capacity};
    broker_control control{settings, incarnation, control_inbox, traffic_inbox};
    entry_server server{settings, incarnation, control_inbox, traffic_inbox,
                        [&control] { return control.has_view() && !control.is_leaving(); }};
    if (const auto opened = server.open(); !opened)
        return refuse_start(opened.error());
    asio::io_context admin_context{1};
    admin_hooks hooks;
    hooks.status = [&] { return status_json(settings, server, control); };
    hooks.drain = [&server] { server.drain(); };
    const auto admin = admin_server::open(admin_context.get_executor(), settings.admin, hooks);
    if (!admin)
        return refuse_start(admin.error());

    asio::io_context main_context{1};
    const auto admin_work = asio::make_work_guard(admin_context);
    const auto main_work = asio::make_work_guard(main_context);
    supervisor root{"entry"};
    root.on_give_up([&main_context](const std::string&) { main_context.stop(); });
    root.add_duty(
        "traffic",
        [&] {
            server.run();
            main_context.stop();
        },
        [&server] { server.stop(); });
    supervisor& helpers = root.add_child("helpers");
    helpers.add_duty(
        "control", [&control] { control.run(); }, [&control] { control.stop(); });
    helpers.add_duty(
        "admin", [&admin_context] { admin_context.run(); }, [&admin_context] { admin_context.stop(); });
    asio::signal_set signals{main_context, SIGTERM, SIGINT};
    wait_for_stop(signals, server, control);
    root.start();
    log_state("started", {{"listen", settings.listen}, {"zone", settings.zone}});
    main_context.run();
    root.stop();
    log_state("stopped", {});
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto settings = read_entry_settings(argc, argv);
    if (!settings)
        return refuse_start(settings.error());
    if (settings->check_only) {
        std::cout << "settings are usable\n";
        return EXIT_SUCCESS;
    }
    return run(*settings);
}
