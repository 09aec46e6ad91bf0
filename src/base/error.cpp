#include "base/error.h"

#include <array>
#include <utility>

namespace radishstep {

namespace {

struct kind_row
{
    error_kind kind;
    std::string_view name;
    unsigned status;
};

constexpr std::array kind_rows{
    kind_row{error_kind::bad_request, "bad_request", 400},
    kind_row{error_kind::bad_text, "bad_text", 400},
    kind_row{error_kind::too_large, "too_large", 413},
    kind_row{error_kind::unauthorized, "unauthorized", 401},
    kind_row{error_kind::not_granted, "not_granted", 403},
    kind_row{error_kind::not_found, "not_found", 404},
    kind_row{error_kind::unknown_model, "unknown_model", 404},
    kind_row{error_kind::idempotency_key_required, "idempotency_key_required", 400},
    kind_row{error_kind::duplicate_call, "duplicate_call", 409},
    kind_row{error_kind::overloaded, "overloaded", 503},
    kind_row{error_kind::quota_exceeded, "quota_exceeded", 429},
    kind_row{error_kind::no_endpoint, "no_endpoint", 503},
    kind_row{error_kind::host_leaving, "host_leaving", 503},
    kind_row{error_kind::poison_request, "poison_request", 422},
    kind_row{error_kind::quarantined, "quarantined", 503},
    kind_row{error_kind::claim_unavailable, "claim_unavailable", 503},
    kind_row{error_kind::endpoint_failed, "endpoint_failed", 502},
    kind_row{error_kind::outcome_unknown, "outcome_unknown", 502},
    kind_row{error_kind::deadline_exceeded, "deadline_exceeded", 504},
    kind_row{error_kind::caller_gone, "caller_gone", 499},
    kind_row{error_kind::not_sent, "not_sent", 502},
    kind_row{error_kind::connection_refused, "connection_refused", 502},
    kind_row{error_kind::connection_lost, "connection_lost", 502},
    kind_row{error_kind::timed_out, "timed_out", 408},
    kind_row{error_kind::protocol, "protocol", 502},
    kind_row{error_kind::conflict, "conflict", 409},
    kind_row{error_kind::unavailable, "unavailable", 503},
    kind_row{error_kind::bad_config, "bad_config", 400},
    kind_row{error_kind::bad_setting, "bad_setting", 400},
};

const kind_row& find_row(error_kind kind)
{
    for (const kind_row& row : kind_rows) {
        if (row.kind == kind)
            return row;
    }
    return kind_rows.front();
}

} // namespace

std::string_view to_string(error_kind kind)
{
    return find_row(kind).name;
}

unsigned http_status(error_kind kind)
{
    return find_row(kind).status;
}

std::string describe(const error& failure)
{
    std::string text{to_string(failure.kind)};
    text += ": " + failure.message;
    if (!failure.remedy.empty())
        text += " (remedy: " + failure.remedy + ")";
    return text;
}

tl::unexpected<error> fail(error_kind kind, std::string message, std::string remedy)
{
    return tl::unexpected<error>(error{kind, std::move(message), std::move(remedy)});
}

bool may_have_arrived(error_kind kind)
{
    // A call fails with bad_setting if its address cannot be parsed.
    return kind != error_kind::not_sent && kind != error_kind::connection_refused && kind != error_kind::bad_setting;
}

} // namespace radishstep
