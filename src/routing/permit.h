#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/runtime_clock.h"
#include "config/site_config.h"

namespace radishstep {

/// Identifies one attempt of one request.
struct permit_key
{
    std::string request_id;
    int attempt = 1;

    auto operator<=>(const permit_key&) const = default;
};

/// Returns the job name of the attempt on endpoints: "request_id.attempt".
std::string job_name(const permit_key& key);

/// Returns the host part of a request ID, which is everything before the first colon.
std::string host_of_request(const std::string& request_id);

/// An entry process's request to a cell's broker for a prefill and a decode endpoint.
struct permit_request
{
    permit_key key;
    std::string holder;
    std::string client;
    client_priority priority = client_priority::interactive;
    int prompt_tokens = 0;
    /// Maximum number of tokens that are still to be generated.
    int answer_tokens = 0;
    /// Hash of the first 256 bytes of the prompt; requests with the same one share cached KV blocks.
    std::uint64_t prefix = 0;
    /// Hash of the model and the whole prompt; identifies a prompt under which endpoints crashed.
    std::uint64_t fingerprint = 0;
    /// Longest time from arrival to the first token.
    runtime_clock::duration patience{};
    /// Time that has passed since arrival.
    runtime_clock::duration waited{};
    /// Endpoints on which earlier attempts failed; used only if no other endpoint of the role is usable.
    std::vector<std::string> avoid;

    bool operator==(const permit_request&) const = default;
};

/// An open permit as its holder reasserts it to the owner of the cell.
struct open_permit
{
    permit_request request;
    std::string prefill;
    std::string decode;
    bool prefill_done = false;

    bool operator==(const open_permit&) const = default;
};

/// Releases a permit and reports what its holder measured. Zero means not measured.
struct permit_release
{
    permit_key key;
    std::string holder;
    runtime_clock::duration prefill_time{};
    int prompt_tokens = 0;
    /// Number of tokens received from the decode endpoint.
    int tokens = 0;
    /// Time from the first to the last of these tokens.
    runtime_clock::duration decode_time{};
    /// Time from the start of the prefill to the first token.
    runtime_clock::duration service_time{};
    /// Endpoints whose calls failed in this attempt.
    std::vector<std::string> failed;
    /// Those of them that crashed.
    std::vector<std::string> died;
    std::uint64_t fingerprint = 0;

    bool operator==(const permit_release&) const = default;
};

/// Assigns a prefill and a decode endpoint to a request.
struct permit_grant
{
    permit_key key;
    std::string holder;
    std::string prefill;
    std::string decode;

    bool operator==(const permit_grant&) const = default;
};

/// Refuses a request. No endpoint has run this attempt, and none will.
struct permit_refusal
{
    permit_key key;
    std::string holder;
    error_kind kind = error_kind::overloaded;
    runtime_clock::duration retry_after{};

    bool operator==(const permit_refusal&) const = default;
};

/// Has a job cancelled at an endpoint, because no permit covers it any more.
struct job_cancellation
{
    std::string endpoint;
    std::string job;

    bool operator==(const job_cancellation&) const = default;
};

using cell_decision = std::variant<permit_grant, permit_refusal, job_cancellation>;
using cell_decisions = std::vector<cell_decision>;

} // namespace radishstep
