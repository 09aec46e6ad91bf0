#pragma once

#include <optional>
#include <vector>

#include "forward/endpoints/endpoint.h"

namespace radishstep::forward {

/// Returns how many of `engines` model engines should run prefill if each has a KV cache of `kv_capacity_tokens`. With
/// this split neither the prefill engines nor the decode engines are a bottleneck at a load peak.
int target_prefill_engines(int engines, std::int64_t kv_capacity_tokens);

/// Returns a prefill engine that should change to decode, or nothing if there are no more than the target. `engines`
/// are the usable engines of one service; those in `changing_incarnations` count as decode engines already.
std::optional<endpoint> find_surplus_prefill_engine(const std::vector<const endpoint*>& engines,
                                                    const std::vector<std::string>& changing_incarnations,
                                                    std::int64_t kv_capacity_tokens);

} // namespace radishstep::forward
