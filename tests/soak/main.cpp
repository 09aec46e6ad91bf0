#include <cstdlib>
#include <iostream>

#include "base/log.h"
#include "soak_run.h"
#include "standin_server.h"

/// Runs --count seeds starting at --seed, each for --seconds with --hosts gateways and --callers callers.
/// Exits with failure when any check of any seed failed.
int main(int argc, char** argv)
{
    using namespace radishstep;
    start_log("soak", "OFF");
    testing::soak_plan plan;
    const int first = standin::flag(argc, argv, "seed", 1);
    const int count = standin::flag(argc, argv, "count", 1);
    plan.seconds = standin::flag(argc, argv, "seconds", plan.seconds);
    plan.hosts = standin::flag(argc, argv, "hosts", plan.hosts);
    plan.callers = standin::flag(argc, argv, "callers", plan.callers);
    int failed_seeds = 0;
    for (int seed = first; seed < first + count; ++seed) {
        plan.seed = static_cast<std::uint64_t>(seed);
        const auto findings = testing::soak_run{plan}.run();
        failed_seeds += findings.empty() ? 0 : 1;
        std::cout << "seed " << seed << ": " << (findings.empty() ? "held" : "BROKEN") << std::endl;
        for (const std::string& finding : findings)
            std::cout << "  " << finding << std::endl;
    }
    std::cout << count - failed_seeds << " passed, " << failed_seeds << " failed" << std::endl;
    return failed_seeds == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
