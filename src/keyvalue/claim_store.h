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

/// Who wants to run a non-idempotent call, and under which key.
struct claim_request
{
    std::string client;
    std::string idempotency_key;
    std::string owner;
    std::string fingerprint;

    bool operator==(const claim_request&) const = default;
};

/// What a claim's owner-to-be does next, once it has read who holds the key.
struct claim_decision
{
    enum class next_step { claimed, taken, write_again };

    next_step next = next_step::write_again;
    /// The version that the next write has to name.
    std::int64_t index = 0;

    bool operator==(const claim_decision&) const = default;
};

/// Returns the verdict on a key whose record and version are given, none when there is no record.
claim_decision decide_claim(const claim_request& wish, const std::optional<claim_record>& record, std::int64_t index);

/// Claims in the key-value service: the right to run a non-idempotent call, given at most once a key.
/// A claim is created before the first byte of the call leaves; its outcome is written after.
class claim_store
{
public:
    explicit claim_store(kv_client& store);

    /// Returns claimed when this wish, and no other, may run the call. An answer of the service that
    /// is lost is made up for by reading who owns the claim.
    boost::asio::awaitable<plain_call_event::any> claim(claim_request wish);

    /// Writes the outcome into a claim of this owner; tries for a bounded time. Returns success.
    boost::asio::awaitable<bool> record(claim_request wish, claim_record outcome);

    /// Returns the key under which the service keeps the claim.
    static std::string key_of(const claim_request& wish);

private:
    kv_client& store;
};

/// Returns the JSON form of a claim, and back; text that is none reads as in progress by nobody.
std::string to_json(const claim_record& record);
claim_record parse_claim(const std::string& text);

} // namespace radishstep
