#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/runtime_clock.h"
#include "forward/endpoints/endpoint.h"
#include "forward/endpoints/endpoint_notice.h"
#include "http/message.h"

namespace radishstep::forward {

/// A caller's request with the fields that the router uses.
struct caller_request
{
    /// The caller's id of this attempt; endpoints return it in their answers.
    std::string id;
    std::string host;
    /// How long the caller waits for its answer, from the request's arrival.
    std::optional<milliseconds> patience;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_output_tokens = 0;
    std::int64_t expected_output_tokens = 0;
    /// Id of the last event that the caller has received, when it resumes a stream.
    std::optional<std::int64_t> last_event_id;
    /// Ids of the prompt's parts that other requests may share, in order; the last part, which belongs to the request
    /// or its session, is left out.
    std::vector<std::string> prompt_parts;
    /// What other requests may have in common with this one, by which those that crash endpoints are recognized: the
    /// fingerprints of the whole request, then prompt_parts.
    std::vector<std::string> traits;
    /// Tokens that the caller announces, if it does.
    std::optional<std::int64_t> announced_tokens;
    /// The key by which the client account is found; never sent on.
    std::string account_key;
    /// Name of the client account, "" on a route that needs none. Nothing if the configuration has no accounts: the
    /// request's own headers are then sent on.
    std::optional<std::string> account;
    /// Priority of the request at engines; 0 is the most urgent.
    int priority = 0;
    /// Priority of the request in queues; 0 is the most urgent.
    int queue_priority = 0;
    http::request original;

    bool operator==(const caller_request&) const = default;
};

/// Where a decode engine can fetch the KV cache that a prefill engine has computed for a prompt.
struct prefill_result
{
    std::string address;
    std::string handle;

    bool operator==(const prefill_result&) const = default;
};

/// What an endpoint's answer says about the call.
enum class answer_kind {
    /// The endpoint ran the call; this is its answer, whether success or failure.
    executed,
    /// The endpoint states that it did not run the call.
    not_executed,
    /// A different endpoint now has this address and did not run the call.
    wrong_endpoint,
    /// The answer does not have the request's id, such as a late or repeated one to an earlier call; this call may have
    /// run.
    wrong_request,
    /// The answer lacks the endpoint's signature or has an unsupported encoding; the call may have run.
    unverified,
};

/// Translates between a site's HTTP headers and bodies and the router's own types.
class forward_dialect
{
public:
    virtual ~forward_dialect() = default;

    /// Returns the parsed request, or a typed error for a request that is invalid.
    virtual result<caller_request> parse_request(const http::request& request) const = 0;

    /// Returns the call that makes a single endpoint serve the whole request within `time_left`.
    virtual http::request make_plain_call(const caller_request& request, const endpoint& target,
                                          milliseconds time_left) const = 0;

    /// Returns the call that makes a prefill engine process the prompt, ahead of calls with a lower priority.
    virtual http::request make_prefill_call(const caller_request& request, const endpoint& target,
                                            milliseconds time_left) const = 0;

    /// Returns the call that makes a decode engine generate the answer. Without a `prefill`, the engine processes
    /// the prompt itself; with a `last_event_id`, it resumes the stream after that event.
    virtual http::request make_decode_call(const caller_request& request, const endpoint& target,
                                           milliseconds time_left, const std::optional<prefill_result>& prefill,
                                           std::optional<std::int64_t> last_event_id) const = 0;

    /// Returns the call that frees a prefill result that no decode engine will fetch.
    virtual http::request make_release_call(const prefill_result& prefill) const = 0;

    /// Returns the order for an engine to change its phase, sent by host `leader` with its fencing token.
    virtual http::request make_phase_order(const endpoint& target, endpoint_phase phase, const std::string& leader,
                                           std::int64_t fencing_token) const = 0;

    /// Classifies an answer by its status and headers.
    virtual answer_kind classify_answer(const caller_request& request, const http::response& head) const = 0;

    /// Returns what an endpoint says of itself in its answer to the call with that id, which is empty for calls without
    /// one. The notice is empty if the answer belongs to another call or comes from another endpoint.
    virtual endpoint_notice parse_notice(const std::string& request_id, const http::response& head) const = 0;

    /// Returns the prefill result in an engine's answer, or a protocol error.
    virtual result<prefill_result> parse_prefill_answer(const endpoint& target, const http::response& answer) const = 0;

    /// Returns the response head to send to the caller for an endpoint's answer.
    virtual http::response make_caller_head(const http::response& head) const = 0;

    /// Returns the router's own error response; `retry_after` tells the caller when it may retry.
    virtual http::response make_refusal(const std::string& request_id, const error& reason,
                                        std::optional<milliseconds> retry_after) const = 0;
};

} // namespace radishstep::forward
