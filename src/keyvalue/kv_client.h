#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/error.h"
#include "base/runtime_clock.h"

namespace radishstep {

namespace http {
class client;
}

/// A stored value and the version that a compare-and-swap names.
struct kv_entry
{
    std::string value;
    std::int64_t modify_index = 0;

    bool operator==(const kv_entry&) const = default;
};

/// Speaks the key-value service's HTTP protocol: /v1/kv/KEY with ?cas=INDEX and ?index=&wait=.
class kv_client
{
public:
    kv_client(http::client& calls, std::string address);

    /// Returns the entry of `key`, nothing when there is none, or `unavailable`.
    boost::asio::awaitable<result<std::optional<kv_entry>>> get(std::string key);

    /// Like get, but waits until the entry is newer than `index` or `wait` is over.
    boost::asio::awaitable<result<std::optional<kv_entry>>> watch(std::string key, std::int64_t index,
                                                                  milliseconds wait);

    /// Writes when the entry still has `index` (0: does not exist). Returns whether it was written;
    /// after an error the write may or may not have taken effect.
    boost::asio::awaitable<result<bool>> compare_and_swap(std::string key, std::string value, std::int64_t index);

private:
    boost::asio::awaitable<result<std::optional<kv_entry>>> fetch(std::string target, milliseconds idle_timeout);

    http::client& calls;
    std::string address;
};

} // namespace radishstep
