#include "accounts/account_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace radishstep::accounts {

result<account_table> account_table::create(std::vector<client_account> accounts)
{
    account_table table;
    std::set<std::string_view> names;
    std::set<int> priorities;
    for (std::size_t index = 0; index < accounts.size(); ++index) {
        const client_account& account = accounts[index];
        if (!names.insert(account.name).second) {
            return fail(error_kind::bad_config, "two client accounts have the name '" + account.name + "'",
                        "rename one of them");
        }
        priorities.insert(account.priority);
        for (const std::string& digest : account.key_digests) {
            const auto [known, is_new] = table.index_by_digest.emplace(digest, index);
            if (!is_new && known->second != index) {
                return fail(error_kind::bad_config,
                            "client accounts '" + accounts[known->second].name + "' and '" + account.name +
                                "' have the same key",
                            "issue another key to one of them");
            }
        }
    }
    table.priorities.assign(priorities.begin(), priorities.end());
    table.all = std::move(accounts);
    return table;
}

const client_account* account_table::find_by_key(std::string_view key) const
{
    // Digests are looked up, so that a caller can't learn a key from how far the comparison got.
    const auto found = this->index_by_digest.find(digest_key(key));
    return found == this->index_by_digest.end() ? nullptr : &this->all[found->second];
}

int account_table::rank_of(int priority) const
{
    return static_cast<int>(std::ranges::lower_bound(this->priorities, priority) - this->priorities.begin());
}

} // namespace radishstep::accounts
