#pragma once

#include <optional>
#include <string>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// The kind of call whose answer carried a notice.
enum class call_kind { plain, prefill, decode, release, phase_order };

/// What an endpoint says of itself in the head of an answer, besides the answer itself.
struct endpoint_notice
{
    /// Longest pause that an endpoint can ask for. A longer one is a fault or amounts to a stop, and an endpoint that
    /// stops starts again as a new incarnation.
    static constexpr milliseconds max_pause{300'000};

    /// The endpoint is about to stop and wants no new work.
    bool is_leaving = false;
    /// The endpoint turned the call away and wants no calls from this host for so long.
    std::optional<milliseconds> pause;
    /// Value that is malformed or out of range, as it was received; empty if there is none.
    std::string unusable_value;

    bool operator==(const endpoint_notice&) const = default;
};

} // namespace radishstep::forward
