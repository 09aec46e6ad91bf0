#include <cstdlib>
#include <iostream>

#include <nlohmann/json.hpp>

#include "admin/process_runner.h"
#include "base/event_log.h"
#include "base/log.h"
#include "entry/control_duty.h"
#include "entry/entry_server.h"
#include "entry/entry_settings.h"

namespace {

using namespace radishstep;

constexpr const char* program = "radishstep-entry";

std::string status_json(const entry_settings& settings, const entry_server& server, const control_duty& control)
{
    return nlohmann::json{{"process", "entry"},
                          {"host", settings.host},
                          {"zone", settings.zone},
                          {"ready", server.is_ready()},
                          {"in_progress", server.running_request_count()},
                          {"open_permits", control.permit_and_request_count()}}
        .dump();
}

int run(const entry_settings& settings)
{
    start_log(program + ("/" + settings.host), settings.log_level);
    process_events().set_process_name("entry/" + settings.host);
    const std::int64_t incarnation = wall_clock_ms();
    control_ring control_inbox{ring_capacity};
    traffic_ring traffic_inbox{ring_capacity};
    control_duty control{settings, incarnation, control_inbox, traffic_inbox};
    entry_server server{settings, incarnation, control_inbox, traffic_inbox,
                        [&control] { return control.has_owner_candidates() && !control.is_leaving(); }};
    if (const auto opened = server.open(); !opened)
        return report_start_failure(program, opened.error());
    process_runner runner{"entry"};
    admin_hooks hooks;
    hooks.status = [&] { return status_json(settings, server, control); };
    hooks.drain = [&server] { server.drain(); };
    if (const auto opened = runner.open_admin(settings.admin, hooks); !opened)
        return report_start_failure(program, opened.error());
    runner.add_helper_duty(
        "control", [&control] { control.run(); }, [&control] { control.stop(); });
    const auto on_stop = [&] {
        log_state("stop_asked", {{"in_progress", std::to_string(server.running_request_count())},
                                 {"open_permits", std::to_string(control.permit_and_request_count())}});
        server.drain();
    };
    return runner.run([&server] { server.run(); }, [&server] { server.stop(); }, on_stop);
}

} // namespace

int main(int argc, char** argv)
{
    const auto settings = read_entry_settings(argc, argv);
    if (!settings)
        return report_start_failure(program, settings.error());
    if (settings->is_check_only) {
        std::cout << "settings are usable\n";
        return EXIT_SUCCESS;
    }
    return run(*settings);
}
