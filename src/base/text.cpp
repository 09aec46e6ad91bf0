#include "base/text.h"

#include <algorithm>
#include <charconv>
#include <vector>

#include <boost/locale/utf.hpp>
#include <openssl/evp.h>

namespace radishstep {

bool is_utf8(std::string_view bytes)
{
    using traits = boost::locale::utf::utf_traits<char>;
    const char* position = bytes.data();
    const char* const end = position + bytes.size();
    while (position != end) {
        const boost::locale::utf::code_point point = traits::decode(position, end);
        if (point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete)
            return false;
    }
    return true;
}

bool is_visible_ascii(std::string_view text)
{
    return std::ranges::all_of(text, [](char character) { return character > ' ' && character <= '~'; });
}

std::string to_base64(std::string_view bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> from_base64(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0)
        return std::nullopt;
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

std::optional<std::int64_t> to_integer(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc{} || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return value;
}

std::string printable_excerpt(std::string_view text)
{
    constexpr std::size_t max_excerpt_bytes = 200;
    std::string excerpt{text.substr(0, max_excerpt_bytes)};
    for (char& character : excerpt) {
        const bool is_printable = character >= ' ' && character <= '~';
        character = is_printable ? character : '?';
    }
    return excerpt;
}

std::string join(const std::vector<std::string>& items)
{
    std::string text;
    for (const std::string& item : items)
        text += (text.empty() ? "" : ",") + item;
    return text;
}

std::string join_first(const std::vector<std::string>& items, std::size_t max_items)
{
    if (items.size() <= max_items)
        return join(items);
    const auto end = items.begin() + static_cast<std::ptrdiff_t>(max_items);
    return join({items.begin(), end}) + ",(" + std::to_string(items.size() - max_items) + " more)";
}

} // namespace radishstep
