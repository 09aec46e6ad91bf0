#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "site.h"

namespace radishstep::testing {

enum class fault_kind { kill, freeze, slow_engine, stall_transfers, repeat_tokens, outage, slow_store, lost_answer };

/// A fault, the time after the start of the schedule at which it is injected, and its duration.
struct fault
{
    int at_ms = 0;
    fault_kind kind = fault_kind::kill;
    std::string target;
    int span_ms = 0;
};

/// The faults from which a schedule is drawn.
struct fault_options
{
    std::vector<fault_kind> kinds;
    /// Prefixes of the names of processes that may be killed or paused.
    std::vector<std::string> targets;
    int count = 6;
    int first_ms = 300;
    int last_ms = 8'000;
    int span_ms = 2'500;
};

/// Returns a random schedule; the same seed gives the same schedule.
std::vector<fault> make_schedule(const fault_options& options, const site& running, std::uint64_t seed);

/// Returns the schedule as text, one line for each fault.
std::string describe(const std::vector<fault>& schedule);

/// Injects the faults of a schedule on its own thread while a load runs. Killed processes are restarted
/// 300 ms later.
class fault_runner
{
public:
    fault_runner(site& running, std::vector<fault> schedule);

    /// Waits until all faults are injected and all processes run again.
    ~fault_runner();
    fault_runner(const fault_runner&) = delete;
    fault_runner& operator=(const fault_runner&) = delete;

private:
    void run();
    void inject(const fault& next);
    void restart(const std::string& name);

    site& running;
    std::vector<fault> schedule;
    caller control;
    std::thread thread;
};

} // namespace radishstep::testing
