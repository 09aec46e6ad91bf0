#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace radishstep {

/// Returns the 64-bit xxHash of `bytes`.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Returns the member of `candidates` that rendezvous hashing selects for `key`, or "" without candidates.
std::string rendezvous_winner(std::string_view key, std::span<const std::string> candidates);

/// Returns the SHA-256 of `bytes` as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view bytes);

} // namespace radishstep
