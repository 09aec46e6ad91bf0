#include <cstdlib>
#include <iostream>

#include "admin/process_runner.h"
#include "base/event_log.h"
#include "base/log.h"
#include "broker/broker_settings.h"
#include "broker/cells_duty.h"
#include "broker/membership_duty.h"
#include "broker/platform_duty.h"

namespace {

using namespace radishstep;

constexpr const char* program_name = "radishstep-broker";

int run(const broker_settings& settings)
{
    start_log(program_name + ("/" + settings.host), settings.log_level);
    process_events().set_process_name("broker/" + settings.host);
    membership_ring membership_inbox{duty_ring_capacity};
    cells_ring cells_inbox{duty_ring_capacity};
    membership_duty membership{settings, wall_clock_ms(), membership_inbox, cells_inbox};
    platform_duty platform{settings, membership_inbox, cells_inbox};
    cells_duty cells{settings, cells_inbox, membership_inbox,
                     [&platform](bool enabled) { platform.set_config_watch(enabled); }};
    if (const auto opened = membership.open(); !opened)
        return report_start_failure(program_name, opened.error());
    if (const auto opened = cells.open(); !opened)
        return report_start_failure(program_name, opened.error());
    process_runner runner{"broker"};
    admin_hooks hooks;
    hooks.status = [&cells] { return cells.status(); };
    hooks.drain = [&cells] { cells.drain(); };
    if (const auto opened = runner.open_admin(settings.admin, hooks); !opened)
        return report_start_failure(program_name, opened.error());
    runner.add_helper_duty(
        "membership", [&membership] { membership.run(); }, [&membership] { membership.stop(); });
    runner.add_helper_duty(
        "platform", [&platform] { platform.run(); }, [&platform] { platform.stop(); });
    const auto on_stop = [&cells] {
        log_state("stop_asked", {{"status", cells.status()}});
        cells.drain();
    };
    return runner.run([&cells] { cells.run(); }, [&cells] { cells.stop(); }, on_stop);
}

} // namespace

int main(int argc, char** argv)
{
    const auto settings = read_broker_settings(argc, argv);
    if (!settings)
        return report_start_failure(program_name, settings.error());
    if (settings->check_only) {
        std::cout << "settings are usable\n";
        return EXIT_SUCCESS;
    }
    return run(*settings);
}
