#pragma once

#include <string>
#include <vector>

#include "base/error.h"
#include "config/site_config.h"

namespace radishstep {

/// A TOML text and the file name that findings give for it.
struct config_text
{
    std::string file;
    std::string text;

    bool operator==(const config_text&) const = default;
};

/// An error or a warning about a configuration text.
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

/// Returns "file:line: error: key: message (remedy: ...)", or the same with "warning".
std::string describe(const config_finding& finding);

/// The configuration read from a base document and an overlay, and the findings about both.
struct config_read_result
{
    site_config config;
    std::vector<config_finding> findings;

    /// Returns true when no finding is an error.
    bool is_usable() const;
};

/// Returns the configuration of `site`, built from the base document and the site's overlay, with all findings
/// about both.
config_read_result read_config(const std::string& site, const config_text& base, const config_text& overlay);

/// Returns the difference between two configurations, one line per changed key ("- old" / "+ new").
std::string config_difference(const config_text& before, const config_text& after);

} // namespace radishstep
