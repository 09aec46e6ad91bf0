#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/error.h"

namespace radishstep {

/// Where a model request stands.
enum class request_phase { waiting, prefilling, decoding, ended };

/// What is known of an endpoint call that did not end well.
enum class call_failure {
    /// No byte of the call arrived; the endpoint does not run.
    not_reached,
    /// The connection broke or fell silent; the endpoint may still work on it.
    lost,
    /// The endpoint runs but does not hold the request any more.
    not_held,
    /// The endpoint stopped running while it had the request.
    died,
    /// The endpoint answered that it will never run this request.
    rejected,
};

/// Returns the failure's name in time lines.
std::string_view to_string(call_failure failure);

/// How often a request may be tried before it is refused.
struct attempt_limits
{
    int attempts = 3;
    int resumes_per_attempt = 2;
    int deaths = 2;

    bool operator==(const attempt_limits&) const = default;
};

/// The state of one model request; a value.
struct request_state
{
    request_phase phase = request_phase::waiting;
    attempt_limits budget;
    int attempt = 1;
    int resumes_left = 2;
    int deaths = 0;
    int answered_tokens = 0;
    bool reached_endpoint = false;
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

/// Ask the cell's broker for endpoints.
struct request_permit
{
    int attempt;
    std::vector<std::string> avoid;
    bool operator==(const request_permit&) const = default;
};
/// Give the permit, or the wish for one, back.
struct release_permit
{
    int attempt;
    std::vector<std::string> failed;
    std::vector<std::string> died;
    bool operator==(const release_permit&) const = default;
};
/// Tell the broker that the prefill endpoint is free.
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
/// Start or resume the stream at the decode endpoint, from `offset`.
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
/// End the request with a refusal; `may_have_run` is false only when no endpoint was called.
struct refuse_request
{
    error reason;
    bool may_have_run;
    bool operator==(const refuse_request&) const = default;
};

using any = std::variant<request_permit, release_permit, report_prefilled, start_prefill, start_decode, cancel_endpoint_job,
                         relay_token, finish_answer, refuse_request>;

} // namespace request_effect

using request_effects = std::vector<request_effect::any>;

/// Returns the state and the effects with which a new request starts.
std::pair<request_state, request_effects> begin_request(const attempt_limits& budget);

/// Returns the next state and what has to be done for it. Events of earlier attempts change nothing,
/// but for a late grant, which is given back.
std::pair<request_state, request_effects> step(request_state state, const request_event::any& event);

} // namespace radishstep
