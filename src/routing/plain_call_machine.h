#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.h"

namespace radishstep {

/// Phase of a call to a plain service.
enum class plain_call_phase { claiming, calling, ended };

/// State of the claim record stored under a client's idempotency key.
enum class claim_status { in_progress, answered, not_run };

/// The owner and the outcome of a non-idempotent call, as stored under its idempotency key.
struct claim_record
{
    std::string owner;
    std::string fingerprint;
    claim_status status = claim_status::in_progress;
    unsigned http_status = 0;
    std::string content_type;
    std::string body;

    bool operator==(const claim_record&) const = default;
};

/// The state of one call to a plain service.
struct plain_call_state
{
    plain_call_phase phase = plain_call_phase::calling;
    bool non_idempotent = false;
    std::string fingerprint;
    /// One call and one retry.
    int calls_left = 2;
    bool may_have_run = false;
    std::vector<std::string> avoid;

    bool operator==(const plain_call_state&) const = default;
};

namespace plain_call_event {

/// This process owns the claim; no other may run the call.
struct claimed
{
    bool operator==(const claimed&) const = default;
};
/// Another call has already claimed the key.
struct claim_taken
{
    claim_record record;
    bool operator==(const claim_taken&) const = default;
};
/// The claim store did not answer, so it is unknown whether the key is claimed.
struct claim_failed
{
    bool operator==(const claim_failed&) const = default;
};
struct answered
{
    unsigned http_status;
    std::string content_type;
    std::string body;
    bool operator==(const answered&) const = default;
};
struct call_failed
{
    std::string endpoint;
    bool was_sent;
    bool operator==(const call_failed&) const = default;
};
struct no_endpoint
{
    bool operator==(const no_endpoint&) const = default;
};
struct caller_disconnected
{
    bool operator==(const caller_disconnected&) const = default;
};

using any = std::variant<claimed, claim_taken, claim_failed, answered, call_failed, no_endpoint, caller_disconnected>;

} // namespace plain_call_event

namespace plain_call_effect {

struct create_claim
{
    bool operator==(const create_claim&) const = default;
};
struct call_endpoint
{
    std::vector<std::string> avoid;
    bool operator==(const call_endpoint&) const = default;
};
/// Write the outcome into the claim. A slow write continues in the background.
struct record_outcome
{
    claim_record record;
    bool operator==(const record_outcome&) const = default;
};
struct send_answer
{
    unsigned http_status;
    std::string content_type;
    std::string body;
    bool is_replay;
    bool operator==(const send_answer&) const = default;
};
struct refuse_call
{
    error reason;
    bool may_have_run;
    bool operator==(const refuse_call&) const = default;
};

using any = std::variant<create_claim, call_endpoint, record_outcome, send_answer, refuse_call>;

} // namespace plain_call_effect

using plain_call_effects = std::vector<plain_call_effect::any>;

/// Returns the initial state and effects of a call. A non-idempotent call claims its key first and is sent at most
/// once.
std::pair<plain_call_state, plain_call_effects> begin_plain_call(bool non_idempotent, std::string fingerprint);

/// Returns the state after `event` and the effects to carry out.
std::pair<plain_call_state, plain_call_effects> step(plain_call_state state, const plain_call_event::any& event);

} // namespace radishstep
