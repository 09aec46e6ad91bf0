#pragma once

#include <string>
#include <vector>

#include "base/error.h"
#include "config/site_config.h"

namespace radishstep {

/// A TOML text and the name under which errors mention it.
struct config_text
{
    std::string file;
    std::string text;

    bool operator==(const config_text&) const = default;
};

/// Something in a configuration text that its author should see.
struct config_finding
{
    std::string file;
    unsigned line = 0;
    std::string key;
    std::string message;
    std::string remedy;
    bool is_error = true;

    bool operator==(const config_finding&) const = default;
};

/// Returns "file:line: error: key: message (remedy: ...)".
std::string describe(const config_finding& finding);

/// The outcome of reading a base document and an overlay.
struct config_reading
{
    site_config config;
    std::vector<config_finding> findings;

    /// Returns true when the configuration may be used.
    bool is_usable() const;
};

/// Returns the configuration of `site`, made from the base document and the site's overlay. All
/// findings are listed, not only the first.
config_reading read_config(const std::string& site, const config_text& base, const config_text& overlay);

/// Returns the difference between two configurations, one changed key a line ("- old" / "+ new").
std::string config_difference(const config_text& before, const config_text& after);

} // namespace radishstep
