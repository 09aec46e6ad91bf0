#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"

namespace radishstep {

/// Reads a process' settings: a flag goes before the environment variable of the same name
/// ("--link-port" and RADISHSTEP_LINK_PORT), and that before the default.
class settings_reader
{
public:
    /// Parses the command line by a docopt usage text. Prints the help and ends the process for --help;
    /// an unusable command line becomes an error.
    static result<settings_reader> parse(const std::string& usage, int argc, const char* const* argv);

    /// Returns a text setting.
    std::string text(const std::string& flag, const std::string& fallback);

    /// Returns a text setting that has no default.
    std::string required(const std::string& flag);

    /// Returns a whole number within bounds.
    std::int64_t number(const std::string& flag, std::int64_t fallback, std::int64_t least, std::int64_t most);

    /// Returns an "IP:port" setting.
    std::string address(const std::string& flag, const std::string& fallback);

    /// Returns true when the flag stands on the command line.
    bool is_given(const std::string& flag) const;

    /// Returns the positional argument or flag value of that name, or "".
    std::string argument(const std::string& name) const;

    /// Returns the first thing that was wrong, if anything was.
    result<void> verdict() const;

private:
    std::map<std::string, std::string> values;
    std::vector<error> errors;
};

} // namespace radishstep
