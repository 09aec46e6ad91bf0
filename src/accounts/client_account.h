#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace radishstep::accounts {

/// What a client account may use over all hosts together, in units: tokens or requests.
struct account_quota
{
    /// Units that accrue in a second; 0 for no limit.
    double units_per_s = 0;
    /// Units that an idle account accrues at most.
    double burst_units = 0;

    bool operator==(const account_quota&) const = default;

    bool is_limited() const { return this->units_per_s > 0; }
};

/// An account of the operators' configuration. Keys are kept as digests only.
struct client_account
{
    std::string name;
    /// SHA-256 digests of the keys by which requests of this account are known.
    std::vector<std::string> key_digests;
    /// Decides before the priority of a request's route; 0 is the most urgent.
    int priority = 0;
    account_quota quota;
    /// Units of a request that announces no tokens, or nothing if each request counts as one unit.
    std::optional<double> units_without_tokens;

    bool operator==(const client_account&) const = default;

    /// Returns the units of a request with that many announced tokens, if any.
    double units_of(std::optional<std::int64_t> announced_tokens) const;
};

/// Returns the digest of a key.
std::string digest_key(std::string_view key);

/// Returns a short name of a key for log lines, from which the key cannot be found.
std::string fingerprint_key(std::string_view key);

} // namespace radishstep::accounts
