#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/error.h"
#include "base/runtime_clock.h"
#include "config/site_config.h"

namespace radishstep {

/// Names one try of one request.
struct permit_key
{
    std::string request;
    int attempt = 1;

    auto operator<=>(const permit_key&) const = default;
};

/// Returns the name under which endpoints know the try: "request.attempt".
std::string job_name(const permit_key& key);

/// Returns the host that a request's name starts with.
std::string host_of_request(const std::string& request);

/// What an entry process asks of a cell's broker.
struct permit_request
{
    permit_key key;
    std::string holder;
    std::string client;
    client_priority priority = client_priority::interactive;
    int prompt_tokens = 0;
    int answer_tokens = 0;
    std::uint64_t prefix = 0;
    std::uint64_t fingerprint = 0;
    runtime_clock::duration patience{};
    runtime_clock::duration waited{};
    std::vector<std::string> avoid;

    bool operator==(const permit_request&) const = default;
};

/// A permit as its holder knows it.
struct open_permit
{
    permit_request ask;
    std::string prefill;
    std::string decode;
    bool prefill_done = false;

    bool operator==(const open_permit&) const = default;
};

/// The end of a permit, with what was seen during its use. Zero means not observed.
struct permit_release
{
    permit_key key;
    std::string holder;
    runtime_clock::duration prefill_time{};
    int prompt_tokens = 0;
    int tokens = 0;
    runtime_clock::duration decode_time{};
    /// From the start of the prefill to the first token.
    runtime_clock::duration service_time{};
    std::vector<std::string> failed;
    std::vector<std::string> died;
    std::uint64_t fingerprint = 0;

    bool operator==(const permit_release&) const = default;
};

/// The request may use these endpoints.
struct permit_grant
{
    permit_key key;
    std::string holder;
    std::string prefill;
    std::string decode;

    bool operator==(const permit_grant&) const = default;
};

/// The request was not run and will not be.
struct permit_refusal
{
    permit_key key;
    std::string holder;
    error_kind kind = error_kind::overloaded;
    runtime_clock::duration retry_after{};

    bool operator==(const permit_refusal&) const = default;
};

/// An endpoint is to drop a job that no permit covers.
struct job_cancellation
{
    std::string endpoint;
    std::string job;

    bool operator==(const job_cancellation&) const = default;
};

using cell_decision = std::variant<permit_grant, permit_refusal, job_cancellation>;
using cell_decisions = std::vector<cell_decision>;

} // namespace radishstep
