#pragma once

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.h"

namespace radishstep {

/// Where a call to a plain service stands.
enum class plain_call_phase { claiming, calling, ended };

/// What the claim store holds under a client's idempotency key.
enum class claim_status { in_progress, answered, not_run };

/// The recorded outcome of a non-idempotent call.
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

/// The state of one call to a plain service; a value.
struct plain_call_state
{
    plain_call_phase phase = plain_call_phase::calling;
    bool non_idempotent = false;
    std::string fingerprint;
    int calls_left = 2;
    bool may_have_run = false;
    std::vector<std::string> avoid;

    bool operator==(const plain_call_state&) const = default;
};

namespace plain_call_event {

/// The claim is ours: nobody else may run the call.
struct claimed
{
    bool operator==(const claimed&) const = default;
};
struct claim_taken
{
    claim_record record;
    bool operator==(const claim_taken&) const = default;
};
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

} // namespace plain_event

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
/// Write the outcome into the claim; what takes long goes on in the background.
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

} // namespace plain_effect

using plain_call_effects = std::vector<plain_call_effect::any>;

/// Returns the state and the effects with which a call starts. A non-idempotent call claims its key
/// first and is sent at most once.
std::pair<plain_call_state, plain_call_effects> begin_plain_call(bool non_idempotent, std::string fingerprint);

/// Returns the next state and what has to be done for it.
std::pair<plain_call_state, plain_call_effects> step(plain_call_state state, const plain_call_event::any& event);

} // namespace radishstep
