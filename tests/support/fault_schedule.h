#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "site.h"

namespace radishstep::testing {

enum class fault_kind { kill, freeze, slow_engine, stall_transfers, repeat_tokens, outage, slow_store, lost_answer };

/// One fault at one moment.
struct fault
{
    int at_ms = 0;
    fault_kind kind = fault_kind::kill;
    std::string target;
    int span_ms = 0;
};

/// What faults a test wants.
struct fault_wish
{
    std::vector<fault_kind> kinds;
    /// Prefixes of the process names that may be killed or frozen.
    std::vector<std::string> targets;
    int count = 6;
    int first_ms = 300;
    int last_ms = 8'000;
    int span_ms = 2'500;
};

/// Returns the schedule of a seed; the same seed gives the same schedule.
std::vector<fault> make_schedule(const fault_wish& wish, const site& running, std::uint64_t seed);

/// Returns one line for each fault.
std::string describe(const std::vector<fault>& schedule);

/// Carries out a schedule beside a running load. Killed processes start again a moment later.
class fault_runner
{
public:
    fault_runner(site& running, std::vector<fault> schedule);

    /// Waits until the schedule is over and all processes run again.
    ~fault_runner();
    fault_runner(const fault_runner&) = delete;
    fault_runner& operator=(const fault_runner&) = delete;

private:
    void run();
    void carry_out(const fault& next);
    void start_again(const std::string& name);

    site& running;
    std::vector<fault> schedule;
    caller control;
    std::thread thread;
};

} // namespace radishstep::testing
