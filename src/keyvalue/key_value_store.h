#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "base/runtime_clock.h"

namespace radishstep {

/// A change of one key; without a value, the key was deleted.
struct key_change
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t revision = 0;

    bool operator==(const key_change&) const = default;
};

/// All keys under a prefix.
struct range_result
{
    std::vector<key_change> items;
    /// The store's revision; a watch that starts here returns every later change.
    std::int64_t revision = 0;

    bool operator==(const range_result&) const = default;
};

/// One page of a range; if another page follows, it starts after `last_key`.
struct range_page
{
    range_result range;
    std::optional<std::string> last_key;

    bool operator==(const range_page&) const = default;
};

/// The result of one watch call.
struct watch_result
{
    std::vector<key_change> changes;
    std::int64_t revision = 0;
    /// The store has compacted the changes after the requested revision; all keys have to be read again.
    bool is_history_compacted = false;

    bool operator==(const watch_result&) const = default;
};

/// A key-value store with revisions, watches and leases, used by the gateway. It is not the key-value service of
/// kv_client, which has compare-and-swap instead. Errors are those of http::client, `unavailable`, or `overloaded` if
/// the store has refused the call because all hosts together make more calls than it takes.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    /// Returns the first keys after `after`, "" for all, that start with `prefix`: as many as fit into one response.
    /// Fails with `timed_out` if it takes longer than `timeout`.
    virtual boost::asio::awaitable<result<range_page>> read_page(std::string prefix, std::string after,
                                                                 milliseconds timeout) = 0;

    /// Returns the changes after `revision`, none if there are none within `wait`.
    virtual boost::asio::awaitable<result<watch_result>> watch(std::string prefix, std::int64_t revision,
                                                               milliseconds wait) = 0;

    /// Aborts the pending watches of `prefix`, which then fail. After an outage the store may never answer them.
    virtual void cancel_watches(const std::string& prefix) = 0;

    /// Returns a new lease that expires `duration` after its last renewal.
    virtual boost::asio::awaitable<result<std::int64_t>> grant_lease(milliseconds duration) = 0;

    /// Renews a lease; returns false if it has expired.
    virtual boost::asio::awaitable<result<bool>> renew_lease(std::int64_t lease) = 0;

    /// Creates a key under a lease; returns its revision, or std::nullopt if the key exists or the lease has expired.
    virtual boost::asio::awaitable<result<std::optional<std::int64_t>>> create(std::string key, std::string value,
                                                                               std::int64_t lease) = 0;

    /// Writes a key under a lease; returns false if the lease has expired.
    virtual boost::asio::awaitable<result<bool>> put(std::string key, std::string value, std::int64_t lease) = 0;
};

} // namespace radishstep
