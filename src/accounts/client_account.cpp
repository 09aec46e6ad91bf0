#include "accounts/client_account.h"

#include "base/hash.h"

namespace radishstep::accounts {

double client_account::units_of(std::optional<std::int64_t> announced_tokens) const
{
    if (!this->units_without_tokens)
        return 1;
    return announced_tokens ? static_cast<double>(*announced_tokens) : *this->units_without_tokens;
}

std::string digest_key(std::string_view key)
{
    return sha256_hex(key);
}

std::string fingerprint_key(std::string_view key)
{
    constexpr std::size_t shown_digits = 8;
    return digest_key(key).substr(0, shown_digits);
}

} // namespace radishstep::accounts
