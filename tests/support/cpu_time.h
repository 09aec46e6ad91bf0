#pragma once

namespace radishstep::testing {

/// Returns the CPU time that the calling thread has used, in seconds.
double thread_cpu_seconds();

} // namespace radishstep::testing
