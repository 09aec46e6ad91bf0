#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"
#include "routing/plain_call_machine.h"

namespace radishstep {

class kv_client;

/// A request for the exclusive right to run a non-idempotent call under an idempotency key.
struct claim_request
{
    std::string client;
    std::string idempotency_key;
    std::string owner;
    std::string fingerprint;

    bool operator==(const claim_request&) const = default;
};

/// The next step of a claim attempt after the stored record was read.
struct claim_decision
{
    /// `already_claimed`: the key has a claim of another owner, or one that was already answered.
    enum class next_step { claimed, already_claimed, retry_write };

    next_step next = next_step::retry_write;
    /// The modify index that the next compare-and-swap has to name.
    std::int64_t index = 0;

    bool operator==(const claim_decision&) const = default;
};

/// Returns the next step for a key with this record (std::nullopt: none exists) and modify index.
claim_decision decide_claim(const claim_request& request, const std::optional<claim_record>& record,
                            std::int64_t index);

/// Stores claims in the key-value service. A claim is the right to run a non-idempotent call and is granted at
/// most once per key. It is created before the first byte of the call is sent; the outcome is added afterwards.
class claim_store
{
public:
    explicit claim_store(kv_client& kv);

    /// Returns `claimed` if only this request may run the call. When the service's response to a write is lost,
    /// the claim is read to find out who owns it.
    boost::asio::awaitable<plain_call_event::any> claim(claim_request request);

    /// Writes the outcome into a claim of this owner, with retries for a bounded time. Returns whether it
    /// was stored.
    boost::asio::awaitable<bool> record(claim_request request, claim_record outcome);

    /// Returns the key under which the claim is stored.
    static std::string claim_key(const claim_request& request);

private:
    kv_client& kv;
};

/// Returns the JSON form of a claim.
std::string to_json(const claim_record& record);
/// Returns the claim in a JSON text; malformed text gives a claim in progress without an owner. An answer that cannot
/// be replayed, since its status is not that of a final response or its body is not Base64, gives a claim in progress:
/// its call has run. It is counted.
claim_record parse_claim(const std::string& text);

} // namespace radishstep
