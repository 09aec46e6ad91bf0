#include "http/response_check.h"

#include <array>
#include <cstdio>
#include <vector>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include "base/text.h"
#include "http/call_errors.h"

namespace radishstep::http {

namespace {

constexpr unsigned min_final_status = 200;
constexpr unsigned max_status = 599;

constexpr const char* transfer_encoding_header = "Transfer-Encoding";

/// Returns the status with three digits, as it was sent.
std::string to_text(unsigned status)
{
    std::array<char, 16> text{};
    const int size = std::snprintf(text.data(), text.size(), "%03u", status);
    return {text.data(), static_cast<std::size_t>(size)};
}

bool has_transfer_coding(const headers& lines)
{
    for (const header& line : lines) {
        if (boost::algorithm::iequals(line.name, transfer_encoding_header))
            return true;
    }
    return false;
}

/// Returns the codings of all lines in their order. Elements of a list may be empty and do not count.
std::vector<std::string> transfer_codings(const headers& lines)
{
    std::vector<std::string> codings;
    for (const header& line : lines) {
        if (!boost::algorithm::iequals(line.name, transfer_encoding_header))
            continue;
        std::vector<std::string> elements;
        boost::algorithm::split(elements, line.value, boost::algorithm::is_any_of(","));
        for (const std::string& element : elements) {
            std::string coding = boost::algorithm::trim_copy_if(element, boost::algorithm::is_any_of(" \t"));
            if (!coding.empty())
                codings.push_back(std::move(coding));
        }
    }
    return codings;
}

} // namespace

bool is_final_status(unsigned status)
{
    return status >= min_final_status && status <= max_status;
}

result<void> check_response_head(const response& head, bool is_read_in_chunks)
{
    if (!is_final_status(head.status))
        return fail_invalid_response("status", "its status is " + to_text(head.status));
    if (!has_transfer_coding(head.lines))
        return {};
    const std::vector<std::string> codings = transfer_codings(head.lines);
    const bool is_chunked = codings.size() == 1 && boost::algorithm::iequals(codings.front(), "chunked");
    if (is_chunked && is_read_in_chunks)
        return {};
    return fail_invalid_response("transfer_coding",
                                 "its transfer coding is '" + printable_excerpt(join(codings)) + "'");
}

} // namespace radishstep::http
