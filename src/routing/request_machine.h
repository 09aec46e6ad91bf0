#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.h"

namespace radishstep {

/// Phase of a model request.
enum class request_phase { waiting, prefilling, decoding, ended };

/// How an endpoint call failed.
enum class call_failure {
    /// No byte of the call reached the endpoint, which is not running.
    not_reached,
    /// The connection broke or timed out; the endpoint may still run the request.
    lost,
    /// The endpoint runs but does not know the job (any more).
    not_held,
    /// The endpoint crashed while it had the request.
    died,
    /// The endpoint rejected the request permanently.
    rejected,
};

/// Returns the failure's name in request timelines.
std::string_view to_string(call_failure failure);

/// Limits after which a request is refused instead of tried again.
struct attempt_limits
{
    int attempts = 3;
    /// Repeated calls to the endpoints of one attempt, for prefill and decode together, without a new token between
    /// them.
    int resumes_per_attempt = 2;
    /// Endpoint crashes; the same limit as poison_list::deaths_to_refuse.
    int deaths = 2;

    bool operator==(const attempt_limits&) const = default;
};

/// The state of one model request.
struct request_state
{
    request_phase phase = request_phase::waiting;
    attempt_limits limits;
    int attempt = 1;
    /// Repeated calls left in this attempt; reset by each new token.
    int resumes_left = 2;
    int deaths = 0;
    int answered_tokens = 0;
    /// Whether a call of the request is known to have reached an endpoint.
    bool reached_endpoint = false;
    /// Whether the current attempt has called an endpoint and has not failed yet, so that the call may have arrived.
    bool has_unresolved_call = false;
    std::string prefill;
    std::string decode;
    std::vector<std::string> avoid;

    bool operator==(const request_state&) const = default;
};

namespace request_event {

struct granted
{
    int attempt;
    std::string prefill;
    std::string decode;
    bool operator==(const granted&) const = default;
};
struct refused
{
    int attempt;
    error reason;
    bool operator==(const refused&) const = default;
};
struct prefilled
{
    int attempt;
    bool operator==(const prefilled&) const = default;
};
struct prefill_failed
{
    int attempt;
    call_failure failure;
    bool operator==(const prefill_failed&) const = default;
};
struct token_arrived
{
    int attempt;
    int offset;
    std::string text;
    bool operator==(const token_arrived&) const = default;
};
struct answer_ended
{
    int attempt;
    int total_tokens;
    bool operator==(const answer_ended&) const = default;
};
struct decode_failed
{
    int attempt;
    call_failure failure;
    bool operator==(const decode_failed&) const = default;
};
struct caller_disconnected
{
    bool operator==(const caller_disconnected&) const = default;
};
struct deadline_passed
{
    bool operator==(const deadline_passed&) const = default;
};

using any = std::variant<granted, refused, prefilled, prefill_failed, token_arrived, answer_ended, decode_failed,
                         caller_disconnected, deadline_passed>;

} // namespace request_event

namespace request_effect {

/// Request endpoints from the cell's broker.
struct request_permit
{
    int attempt;
    std::vector<std::string> avoid;
    bool operator==(const request_permit&) const = default;
};
/// Release the permit or withdraw the request for one.
struct release_permit
{
    int attempt;
    std::vector<std::string> failed;
    std::vector<std::string> died;
    bool operator==(const release_permit&) const = default;
};
/// Report to the broker that the prefill slot is free.
struct report_prefilled
{
    int attempt;
    bool operator==(const report_prefilled&) const = default;
};
struct start_prefill
{
    int attempt;
    std::string endpoint;
    bool operator==(const start_prefill&) const = default;
};
/// Start or resume the stream at the decode endpoint, after the `offset` answer tokens that were received before.
/// `source` is the prefill endpoint from which the KV cache is fetched.
struct start_decode
{
    int attempt;
    std::string endpoint;
    std::string source;
    int offset;
    bool resume;
    bool operator==(const start_decode&) const = default;
};
struct cancel_endpoint_job
{
    int attempt;
    std::string endpoint;
    bool operator==(const cancel_endpoint_job&) const = default;
};
struct relay_token
{
    std::string text;
    bool operator==(const relay_token&) const = default;
};
struct finish_answer
{
    int total_tokens;
    bool operator==(const finish_answer&) const = default;
};
/// End the request with a refusal; `may_have_run` is false only when no call reached an endpoint.
struct refuse_request
{
    error reason;
    bool may_have_run;
    bool operator==(const refuse_request&) const = default;
};

using any = std::variant<request_permit, release_permit, report_prefilled, start_prefill, start_decode,
                         cancel_endpoint_job, relay_token, finish_answer, refuse_request>;

} // namespace request_effect

using request_effects = std::vector<request_effect::any>;

/// Returns the initial state and effects of a request.
std::pair<request_state, request_effects> begin_request(const attempt_limits& limits);

/// Returns the state after `event` and the effects to carry out. Events of earlier attempts are ignored, except for
/// a late grant, which is released.
std::pair<request_state, request_effects> step(request_state state, const request_event::any& event);

} // namespace radishstep
