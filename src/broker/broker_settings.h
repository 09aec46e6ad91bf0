#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"
#include "base/runtime_clock.h"

namespace radishstep {

/// The settings of a broker process.
struct broker_settings
{
    std::string host;
    std::string zone;
    std::string region;
    /// The name of this site's overlay in the configuration.
    std::string site;
    std::string address;
    int link_port = 0;
    int gossip_port = 0;
    /// The address of this process's admin server.
    std::string admin;
    /// The admin address of the entry process on this host.
    std::string entry_admin;
    /// The address of the key-value service.
    std::string key_value;
    /// The address of the host list service.
    std::string host_list;
    std::string log_level;
    milliseconds probe_period{500};
    bool check_only = false;

    bool operator==(const broker_settings&) const = default;
};

/// Returns the settings from the command line and the environment, or the first error in them.
result<broker_settings> read_broker_settings(int argc, const char* const* argv);

} // namespace radishstep
