#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/error.h"
#include "base/runtime_clock.h"
#include "forward/endpoint.h"
#include "http/message.h"

namespace radishstep::forward {

/// A caller's request, with what the router needs to know of it.
struct caller_request
{
    /// The caller's name for this try; endpoints repeat it in their answers.
    std::string id;
    std::string host;
    /// How long the caller will wait, from its arrival.
    std::optional<milliseconds> patience;
    std::int64_t prompt_tokens = 0;
    std::int64_t max_output_tokens = 0;
    std::int64_t expected_output_tokens = 0;
    /// The last event that the caller has, when it goes on with a stream.
    std::optional<std::int64_t> last_event_id;
    http::request original;

    bool operator==(const caller_request&) const = default;
};

/// Where a read prompt waits for its decode engine.
struct prefill_result
{
    std::string address;
    std::string handle;

    bool operator==(const prefill_result&) const = default;
};

/// What an endpoint's answer says of the call.
enum class answer_kind {
    /// The endpoint ran the call and this is its answer, good or bad.
    executed,
    /// The endpoint states that it did not run the call.
    not_executed,
    /// Another endpoint has this address now; the call was not run.
    wrong_endpoint,
    /// The answer to some other call that came late.
    wrong_request,
    /// No answer of the endpoint's; the call may have run.
    unverified,
};

/// How callers' requests and endpoints' calls are written. The router knows only this interface.
class forward_dialect
{
public:
    virtual ~forward_dialect() = default;

    /// Returns what a caller asks, or the typed refusal for a request that is none.
    virtual result<caller_request> parse_request(const http::request& asked) const = 0;

    /// Returns the call that has an endpoint run the request, within `left`.
    virtual http::request make_plain_call(const caller_request& asked, const endpoint& at, milliseconds left) const = 0;

    /// Returns the call that has a prefill engine read the prompt.
    virtual http::request make_prefill_call(const caller_request& asked, const endpoint& at, milliseconds left) const = 0;

    /// Returns the call that has a decode engine make the answer, after event `last_event` if there is one.
    virtual http::request make_decode_call(const caller_request& asked, const endpoint& at, milliseconds left,
                                      const std::optional<prefill_result>& read,
                                      std::optional<std::int64_t> last_event_id) const = 0;

    /// Returns the call that frees a prefill result that nobody will fetch.
    virtual http::request make_release_call(const prefill_result& read) const = 0;

    /// Returns the order that has an engine change its phase, given by `holder` under a fencing token.
    virtual http::request make_phase_order(const endpoint& at, endpoint_phase phase, const std::string& holder,
                                      std::int64_t token) const = 0;

    /// Returns what the head of an answer says.
    virtual answer_kind classify_answer(const caller_request& asked, const http::response& head) const = 0;

    /// Returns the prefill result that an engine answered with, or a protocol error.
    virtual result<prefill_result> parse_prefill_answer(const endpoint& at, const http::response& answer) const = 0;

    /// Returns the head that the caller gets for an endpoint's answer.
    virtual http::response make_caller_head(const http::response& head) const = 0;

    /// Returns a refusal of our own, with the time after which the caller may come back if there is one.
    virtual http::response refusal(const std::string& request_id, const error& reason,
                                   std::optional<milliseconds> retry_after) const = 0;
};

} // namespace radishstep::forward
