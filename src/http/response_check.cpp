#include "http/response_check.h"

#include <array>
#include <cstdio>
#include <string>

#include "http/call_errors.h"

namespace radishstep::http {

namespace {

constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;

/// Returns the status with three digits, as it was sent.
std::string to_text(unsigned status)
{
    std::array<char, 16> text{};
    const int size = std::snprintf(text.data(), text.size(), "%03u", status);
    return {text.data(), static_cast<std::size_t>(size)};
}

} // namespace

result<void> check_response_head(const response& head)
{
    if (head.status < min_final_status || head.status > max_status)
        return fail_invalid_response("status", "its status is " + to_text(head.status));
    return {};
}

} // namespace radishstep::http
