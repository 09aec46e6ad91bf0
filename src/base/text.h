#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishstep {

/// Returns true when `bytes` is well-formed UTF-8.
bool is_utf8(std::string_view bytes);

/// Returns true when `text` consists of visible ASCII characters only, so that it can be sent in a header or a path.
bool is_visible_ascii(std::string_view text);

/// Returns the Base64 form of `bytes`.
std::string to_base64(std::string_view bytes);

/// Returns the bytes of a Base64 text, or nothing when it is malformed.
std::optional<std::string> from_base64(std::string_view text);

/// Returns `text` as a decimal number, or nothing when any part of it is not.
std::optional<std::int64_t> to_integer(std::string_view text);

/// Returns the start of `text` for a log line or an error message, with '?' for each byte that is not printable.
std::string printable_excerpt(std::string_view text);

/// Returns the items with commas between them.
std::string join(const std::vector<std::string>& items);

/// Returns the first items with commas between them, and how many more there are; for log lines.
std::string join_first(const std::vector<std::string>& items, std::size_t max_items = 16);

} // namespace radishstep
