#include "routing/permit_wire.h"

#include "wire/generated/radishstep_types.h"

namespace radishstep::wire {

namespace {

using duration = runtime_clock::duration;

std::int32_t to_ms32(duration span)
{
    return static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

std::int32_t to_us32(duration span)
{
    return static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::microseconds>(span).count());
}

client_priority client_priority_from_number(std::int32_t number)
{
    if (number == static_cast<std::int32_t>(client_priority::resumed))
        return client_priority::resumed;
    const bool is_batch = number == static_cast<std::int32_t>(client_priority::batch);
    return is_batch ? client_priority::batch : client_priority::interactive;
}

/// Returns the error kind with this name. A newer peer may send a kind that this version does not know; it maps to
/// overloaded, which says only that the request was not run and may be retried.
error_kind error_kind_from_name(const std::string& name)
{
    for (const error_kind kind : {error_kind::overloaded, error_kind::no_endpoint, error_kind::poison_request,
                                  error_kind::unavailable, error_kind::unknown_model}) {
        if (to_string(kind) == name)
            return kind;
    }
    return error_kind::overloaded;
}

} // namespace

PermitRequest to_wire(const permit_request& request, const std::string& cell)
{
    PermitRequest message;
    message.request = request.key.request_id;
    message.attempt = request.key.attempt;
    message.cell = cell;
    message.client = request.client;
    message.priority = static_cast<std::int32_t>(request.priority);
    message.prompt_tokens = request.prompt_tokens;
    message.answer_tokens = request.answer_tokens;
    message.prefix = static_cast<std::int64_t>(request.prefix);
    message.fingerprint = static_cast<std::int64_t>(request.fingerprint);
    message.patience_ms = to_ms32(request.patience);
    message.waited_ms = to_ms32(request.waited);
    message.avoid = request.avoid;
    return message;
}

Grant to_wire(const permit_grant& grant)
{
    Grant message;
    message.request = grant.key.request_id;
    message.attempt = grant.key.attempt;
    message.prefill = grant.prefill;
    message.decode = grant.decode;
    return message;
}

Refusal to_wire(const permit_refusal& refusal)
{
    Refusal message;
    message.request = refusal.key.request_id;
    message.attempt = refusal.key.attempt;
    message.kind = std::string{to_string(refusal.kind)};
    message.retry_after_ms = to_ms32(refusal.retry_after);
    return message;
}

Release to_wire(const permit_release& release, const std::string& cell)
{
    Release message;
    message.request = release.key.request_id;
    message.attempt = release.key.attempt;
    message.cell = cell;
    message.prefill_us = to_us32(release.prefill_time);
    message.prompt_tokens = release.prompt_tokens;
    message.tokens = release.tokens;
    message.decode_us = to_us32(release.decode_time);
    message.service_us = to_us32(release.service_time);
    message.failed = release.failed;
    message.died = release.died;
    message.fingerprint = static_cast<std::int64_t>(release.fingerprint);
    return message;
}

Reassert to_wire(const std::string& cell, const std::vector<open_permit>& permits,
                 const std::vector<poison_strike>& strikes)
{
    Reassert message;
    message.cell = cell;
    for (const open_permit& permit : permits) {
        OpenPermit open;
        open.ask = to_wire(permit.request, cell);
        open.prefill = permit.prefill;
        open.decode = permit.decode;
        open.prefill_done = permit.prefill_done;
        message.permits.push_back(std::move(open));
    }
    for (const poison_strike& strike : strikes) {
        Strike wire_strike;
        wire_strike.fingerprint = static_cast<std::int64_t>(strike.fingerprint);
        wire_strike.deaths = strike.deaths;
        message.strikes.push_back(wire_strike);
    }
    return message;
}

permit_request from_wire(const PermitRequest& message, const std::string& holder)
{
    permit_request request;
    request.key = {message.request, message.attempt};
    request.holder = holder;
    request.client = message.client;
    request.priority = client_priority_from_number(message.priority);
    request.prompt_tokens = message.prompt_tokens;
    request.answer_tokens = message.answer_tokens;
    request.prefix = static_cast<std::uint64_t>(message.prefix);
    request.fingerprint = static_cast<std::uint64_t>(message.fingerprint);
    request.patience = std::chrono::milliseconds{message.patience_ms};
    request.waited = std::chrono::milliseconds{message.waited_ms};
    request.avoid = message.avoid;
    return request;
}

permit_grant from_wire(const Grant& message)
{
    return {{message.request, message.attempt}, "", message.prefill, message.decode};
}

permit_refusal from_wire(const Refusal& message)
{
    return {{message.request, message.attempt},
            "",
            error_kind_from_name(message.kind),
            std::chrono::milliseconds{message.retry_after_ms}};
}

permit_release from_wire(const Release& message, const std::string& holder)
{
    permit_release release;
    release.key = {message.request, message.attempt};
    release.holder = holder;
    release.prefill_time = std::chrono::microseconds{message.prefill_us};
    release.prompt_tokens = message.prompt_tokens;
    release.tokens = message.tokens;
    release.decode_time = std::chrono::microseconds{message.decode_us};
    release.service_time = std::chrono::microseconds{message.service_us};
    release.failed = message.failed;
    release.died = message.died;
    release.fingerprint = static_cast<std::uint64_t>(message.fingerprint);
    return release;
}

std::vector<open_permit> permits_from_wire(const Reassert& message, const std::string& holder)
{
    std::vector<open_permit> permits;
    permits.reserve(message.permits.size());
    for (const OpenPermit& open : message.permits)
        permits.push_back({from_wire(open.ask, holder), open.prefill, open.decode, open.prefill_done});
    return permits;
}

std::vector<poison_strike> strikes_from_wire(const Reassert& message)
{
    std::vector<poison_strike> strikes;
    strikes.reserve(message.strikes.size());
    for (const Strike& wire_strike : message.strikes)
        strikes.push_back({static_cast<std::uint64_t>(wire_strike.fingerprint), wire_strike.deaths});
    return strikes;
}

} // namespace radishstep::wire
