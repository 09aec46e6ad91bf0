#include "base/settings.h"

#include <cctype>
#include <cstdlib>
#include <iostream>

#include <docopt/docopt.h>

#include "base/text.h"
#include "http/server.h"

namespace radishstep {

namespace {

std::string environment_name(const std::string& flag)
{
    std::string name = "RADISHSTEP_";
    for (const char letter : flag.substr(flag.find_first_not_of('-')))
        name += letter == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    return name;
}

} // namespace

result<settings_reader> settings_reader::parse(const std::string& usage, int argc, const char* const* argv)
{
    settings_reader reader;
    try {
        const std::vector<std::string> arguments{argv + 1, argv + argc};
        for (const auto& [name, value] : docopt::docopt_parse(usage, arguments, true, true)) {
            if (value.isString())
                reader.values[name] = value.asString();
            else if (value.isBool() && value.asBool())
                reader.values[name] = "true";
            else if (value.isStringList() && !value.asStringList().empty())
                reader.values[name] = value.asStringList().front();
        }
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage << "\n";
        std::exit(EXIT_SUCCESS);
    } catch (const docopt::DocoptExitVersion&) {
        std::exit(EXIT_SUCCESS);
    } catch (const std::exception& failure) {
        return fail(error_kind::bad_setting, std::string{"cannot parse the command line: "} + failure.what(),
                    "see --help");
    }
    return reader;
}

std::string settings_reader::text(const std::string& flag, const std::string& fallback)
{
    const auto given = this->values.find(flag);
    if (given != this->values.end())
        return given->second;
    const char* const variable = std::getenv(environment_name(flag).c_str());
    return variable == nullptr ? fallback : variable;
}

std::string settings_reader::required(const std::string& flag)
{
    std::string value = this->text(flag, "");
    if (value.empty()) {
        this->errors.push_back(
            {error_kind::bad_setting, flag + " is not set", "give " + flag + " or set " + environment_name(flag)});
    }
    return value;
}

std::int64_t settings_reader::number(const std::string& flag, std::int64_t fallback, std::int64_t min_value,
                                     std::int64_t max_value)
{
    const std::string value = this->text(flag, std::to_string(fallback));
    const auto parsed = to_integer(value);
    if (parsed && *parsed >= min_value && *parsed <= max_value)
        return *parsed;
    this->errors.push_back(
        {error_kind::bad_setting, flag + " is '" + value + "'",
         "give a whole number from " + std::to_string(min_value) + " to " + std::to_string(max_value)});
    return fallback;
}

std::string settings_reader::address(const std::string& flag, const std::string& fallback)
{
    std::string value = this->text(flag, fallback);
    if (const auto parsed = http::parse_address(value); !parsed)
        this->errors.push_back({parsed.error().kind, flag + ": " + parsed.error().message, parsed.error().remedy});
    return value;
}

bool settings_reader::is_given(const std::string& flag) const
{
    return this->values.contains(flag);
}

std::string settings_reader::argument(const std::string& name) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? "" : found->second;
}

result<void> settings_reader::validate() const
{
    if (this->errors.empty())
        return {};
    return tl::unexpected{this->errors.front()};
}

} // namespace radishstep
