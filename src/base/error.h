#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace radishstep {

/// The kinds of failure of an operation. Their names are stable: callers and operators match on them.
enum class error_kind {
    bad_request,
    bad_text, // The body is not UTF-8.
    too_large,
    unauthorized,
    not_granted, // Not raised at present.
    not_found,
    unknown_model,
    idempotency_key_required,
    duplicate_call,
    overloaded,
    quota_exceeded, // The client account has used up its quota.
    no_endpoint,
    host_leaving, // Not raised at present.
    poison_request,
    quarantined,       // Endpoints crashed on the request or a part of its prompt.
    claim_unavailable, // The key-value service, which stores the claims, does not answer.
    endpoint_failed,
    outcome_unknown,
    deadline_exceeded,
    caller_gone,
    not_sent,           // The call failed before any of its bytes were sent.
    connection_refused, // As not_sent: the host answered, but no process listens there.
    connection_lost,
    timed_out,
    protocol,
    conflict,
    unavailable,
    bad_config,
    bad_setting,
};

/// Returns the stable lower-case name of `kind`.
std::string_view to_string(error_kind kind);

/// Returns the HTTP status of the response to a caller for `kind`.
unsigned http_status(error_kind kind);

/// A failure, and a remedy for the person who reads it.
struct error
{
    error_kind kind = error_kind::protocol;
    std::string message;
    std::string remedy;

    bool operator==(const error&) const = default;
};

/// Returns "kind: message (remedy: ...)", the one-line form for logs and terminals.
std::string describe(const error& failure);

template <typename T>
using result = tl::expected<T, error>;

/// Returns false for a failure of a call before any of its bytes were sent: such a call has not run.
bool may_have_arrived(error_kind kind);

/// Returns an error that converts to a result of any type.
tl::unexpected<error> fail(error_kind kind, std::string message, std::string remedy);

} // namespace radishstep
