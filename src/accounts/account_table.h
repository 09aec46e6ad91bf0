#pragma once

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "accounts/client_account.h"
#include "base/error.h"

namespace radishstep::accounts {

/// The client accounts of one version of the configuration; replaced as a whole with the next version.
class account_table
{
public:
    /// A table without accounts: requests need no key.
    account_table() = default;

    /// Returns the table of these accounts, or a bad_config error if two have the same name or key.
    static result<account_table> create(std::vector<client_account> accounts);

    /// Returns the account that has the key, or nullptr. The time that it takes tells nothing about the known keys.
    const client_account* find_by_key(std::string_view key) const;

    /// Returns how much more urgent accounts there are than one with this priority: the number of smaller priorities.
    int rank_of(int priority) const;

    const std::vector<client_account>& accounts() const { return this->all; }

    bool is_empty() const { return this->all.empty(); }

    bool operator==(const account_table&) const = default;

private:
    std::vector<client_account> all;
    /// Index of the account by the digest of its key.
    std::unordered_map<std::string, std::size_t> index_by_digest;
    /// All priorities, each once, in ascending order.
    std::vector<int> priorities;
};

} // namespace radishstep::accounts
