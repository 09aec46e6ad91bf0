#include "forward/suspects/request_fingerprint.h"

#include <array>
#include <cstdint>
#include <cstdio>

#include "base/hash.h"

namespace radishstep::forward {

namespace {

constexpr std::string_view fingerprint_prefix = "request:";

std::string to_fingerprint(std::uint64_t hash)
{
    constexpr std::size_t hash_digits = 16;
    std::array<char, hash_digits + 1> digits{};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(hash));
    return std::string{fingerprint_prefix} + digits.data();
}

} // namespace

std::vector<std::string> request_fingerprints(const http::request& request, std::string_view prompt,
                                              const attempt_header_filter& is_attempt_header)
{
    std::uint64_t hash = hash64(request.method);
    for (const std::string_view field : {http::find_header(request.lines, "Host"), std::string_view{request.target},
                                         prompt, std::string_view{request.body.text()}})
        hash = hash64(field, hash);
    const std::string asked = to_fingerprint(hash);
    for (const http::header& line : request.lines) {
        if (!is_attempt_header(line.name))
            hash = hash64(line.value, hash64(line.name, hash));
    }
    return {asked, to_fingerprint(hash64("with its caller", hash))};
}

bool is_request_fingerprint(std::string_view text)
{
    return text.starts_with(fingerprint_prefix);
}

} // namespace radishstep::forward
