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

/// A stored value and its version, which a compare-and-swap has to name.
struct kv_entry
{
    std::string value;
    std::int64_t modify_index = 0;

    bool operator==(const kv_entry&) const = default;
};

/// Client of the key-value service's HTTP API: /v1/kv/KEY with ?cas=INDEX and ?index=&wait=. Used by the broker, the
/// entry processes and radishctl; the gateway uses a key_value_store instead.
class kv_client
{
public:
    kv_client(http::client& http_client, std::string address);

    /// Returns the entry of `key`, std::nullopt if the key does not exist, or `unavailable`.
    boost::asio::awaitable<result<std::optional<kv_entry>>> get(std::string key);

    /// Like get, but a blocking query: returns once the entry is newer than `index` or after `wait`.
    boost::asio::awaitable<result<std::optional<kv_entry>>> watch(std::string key, std::int64_t index,
                                                                  milliseconds wait);

    /// Writes the value if the entry's modify index is still `index` (0: the key does not exist). Returns
    /// whether it was written; after an error the write may or may not have taken effect.
    boost::asio::awaitable<result<bool>> compare_and_swap(std::string key, std::string value, std::int64_t index);

private:
    boost::asio::awaitable<result<std::optional<kv_entry>>> fetch(std::string target, milliseconds idle_timeout);

    http::client& http_client;
    std::string address;
};

} // namespace radishstep
