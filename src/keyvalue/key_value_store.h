#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "base/runtime_clock.h"

namespace radishstep {

/// A change of one key; without a value, the key is gone.
struct key_change
{
    std::string key;
    std::optional<std::string> value;
    std::int64_t revision = 0;

    bool operator==(const key_change&) const = default;
};

/// All keys with a prefix.
struct range_result
{
    std::vector<key_change> items;
    /// The service's revision from which on a watch tells of changes.
    std::int64_t revision = 0;

    bool operator==(const range_result&) const = default;
};

/// What a watch has to tell.
struct watch_result
{
    std::vector<key_change> changes;
    std::int64_t revision = 0;
    /// The service no longer has the changes since the given revision: read everything again.
    bool is_history_compacted = false;

    bool operator==(const watch_result&) const = default;
};

/// A key-value service with a revision counter, watches and leases. Errors are `unavailable`.
class key_value_store
{
public:
    virtual ~key_value_store() = default;

    /// Returns all keys that begin with `prefix`.
    virtual boost::asio::awaitable<result<range_result>> read_all(std::string prefix) = 0;

    /// Waits up to `wait` for changes after `revision`.
    virtual boost::asio::awaitable<result<watch_result>> watch(std::string prefix, std::int64_t revision,
                                                              milliseconds wait) = 0;

    /// Has the waiting watches of `prefix` fail. A service that fell silent and came back may never answer them.
    virtual void cancel_watches(const std::string& prefix) = 0;

    /// Returns a new lease that lasts for `span` from each renewal.
    virtual boost::asio::awaitable<result<std::int64_t>> grant_lease(milliseconds span) = 0;

    /// Renews a lease; returns false when it has ended.
    virtual boost::asio::awaitable<result<bool>> renew_lease(std::int64_t lease) = 0;

    /// Creates a key under a lease; returns its revision, or nothing when the key exists or the lease has ended.
    virtual boost::asio::awaitable<result<std::optional<std::int64_t>>> create(std::string key, std::string value,
                                                                               std::int64_t lease) = 0;

    /// Writes a key under a lease; returns false when the lease has ended.
    virtual boost::asio::awaitable<result<bool>> put(std::string key, std::string value, std::int64_t lease) = 0;
};

} // namespace radishstep
