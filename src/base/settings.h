#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/error.h"

namespace radishstep {

/// Reads a process' settings: a flag takes precedence over the environment variable of the same name
/// ("--link-port" and RADISHSTEP_LINK_PORT), and the variable over the default.
class settings_reader
{
public:
    /// Parses the command line by a docopt usage text. Prints the help and ends the process for --help;
    /// returns an error for a command line that does not match the usage.
    static result<settings_reader> parse(const std::string& usage, int argc, const char* const* argv);

    /// Returns a text setting.
    std::string text(const std::string& flag, const std::string& fallback);

    /// Returns a text setting that has no default; records an error when it is missing.
    std::string required(const std::string& flag);

    /// Returns a whole number; records an error and returns `fallback` when it is malformed or out of range.
    std::int64_t number(const std::string& flag, std::int64_t fallback, std::int64_t min_value, std::int64_t max_value);

    /// Returns an "IP:port" setting; records an error when it is malformed.
    std::string address(const std::string& flag, const std::string& fallback);

    /// Returns true when the flag is on the command line; the environment is not read.
    bool is_given(const std::string& flag) const;

    /// Returns the positional argument or flag value of that name, or "".
    std::string argument(const std::string& name) const;

    /// Returns the first recorded error, if any.
    result<void> validate() const;

private:
    std::map<std::string, std::string> values;
    std::vector<error> errors;
};

} // namespace radishstep
