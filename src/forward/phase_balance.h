#pragma once

#include <optional>
#include <vector>

#include "forward/endpoint.h"

namespace radishstep::forward {

/// Returns how many of `engines` model engines should read prompts, when each has memory for
/// `memory_tokens`. The rest streams answers; neither part then waits for the other at a crest.
int wanted_readers(int engines, std::int64_t kv_capacity_tokens);

/// Returns the prefill engine that should stream answers instead, or nothing while there are not too
/// many. `engines` are the usable engines of one service; those in `changing` count as changed.
std::optional<endpoint> surplus_reader(const std::vector<const endpoint*>& engines,
                                       const std::vector<std::string>& changing, std::int64_t kv_capacity_tokens);

} // namespace radishstep::forward
