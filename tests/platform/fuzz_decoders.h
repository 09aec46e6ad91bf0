#pragma once

#include "../fuzz/targets.h"

namespace radishstep::testing {

/// Returns the fuzz targets for the decoders of the platform adapter, the hosts' load reports and the event relay.
std::vector<fuzz_target> platform_fuzz_targets();

} // namespace radishstep::testing
