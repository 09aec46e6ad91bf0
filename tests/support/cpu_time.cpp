#include "cpu_time.h"

#include <sys/resource.h>

namespace radishstep::testing {

double thread_cpu_seconds()
{
    constexpr double us_per_s = 1e6;
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const auto seconds = [](const timeval& time) {
        return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / us_per_s;
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

} // namespace radishstep::testing
