#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace radishstep::testing {

/// One parser of bytes from outside, with inputs to start from.
struct fuzz_target
{
    std::string name;
    std::function<void(std::string_view)> parse;
    std::vector<std::string> seeds;
};

/// Returns a target for each parser that takes outside bytes.
std::vector<fuzz_target> fuzz_targets();

} // namespace radishstep::testing
