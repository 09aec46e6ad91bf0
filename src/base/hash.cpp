#include "base/hash.h"

#include <array>

#include <openssl/evp.h>
#include <xxhash.h>

namespace radishstep {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string rendezvous_winner(std::string_view key, std::span<const std::string> candidates)
{
    std::string winner;
    std::uint64_t best = 0;
    const std::uint64_t key_hash = hash64(key);
    for (const std::string& candidate : candidates) {
        const std::uint64_t score = hash64(candidate, key_hash);
        const bool wins = winner.empty() || score > best || (score == best && candidate < winner);
        if (!wins)
            continue;
        winner = candidate;
        best = score;
    }
    return winner;
}

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned i = 0; i < length; ++i) {
        text += digits[digest[i] >> 4U];
        text += digits[digest[i] & 0xFU];
    }
    return text;
}

} // namespace radishstep
