#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"
#include "base/runtime_clock.h"
#include "routing/local_admission.h"

namespace radishstep {

/// The settings of an entry process; the usage text describes each one.
struct entry_settings
{
    std::string host;
    std::string zone;
    std::string region;
    std::string site;
    std::string listen;
    std::string admin;
    std::string broker;
    std::string key_value;
    std::string log_level;
    milliseconds idle_timeout{3'000};
    /// Time between the end of readiness and the end of accepting connections.
    milliseconds readiness_drain_delay{1'000};
    milliseconds drain_timeout{120'000};
    std::int64_t max_body_bytes = 0;
    admission_policy policy = admission_policy::cell;
    bool is_check_only = false;

    bool operator==(const entry_settings&) const = default;
};

/// Returns the settings from the command line and the environment, or the first error in them.
result<entry_settings> read_entry_settings(int argc, const char* const* argv);

} // namespace radishstep
