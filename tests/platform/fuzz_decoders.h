#pragma once

#include "../fuzz/targets.h"

namespace radishstep::testing {

/// Returns a target for each decoder of the platform's adapter, and for what hosts tell each other.
std::vector<fuzz_target> platform_fuzz_targets();

} // namespace radishstep::testing
