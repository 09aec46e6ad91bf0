#include "keyvalue/claim_store.h"

#include <limits>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "base/text.h"
#include "http/response_check.h"
#include "keyvalue/kv_client.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

/// How long a claim is attempted while the key-value service fails.
constexpr milliseconds claim_timeout{2'000};
/// Long, since without its outcome a claim stays in progress and a retry of the caller cannot be answered from it.
constexpr milliseconds record_timeout{120'000};
constexpr milliseconds initial_backoff{20};
constexpr milliseconds max_backoff{2'000};

std::string status_name(claim_status status)
{
    switch (status) {
    case claim_status::answered:
        return "answered";
    case claim_status::not_run:
        return "not_run";
    case claim_status::in_progress:
        break;
    }
    return "in_progress";
}

claim_status parse_status(const std::string& name)
{
    if (name == "answered")
        return claim_status::answered;
    return name == "not_run" ? claim_status::not_run : claim_status::in_progress;
}

/// Returns a field's text, "" if it has none.
std::string text_field(const nlohmann::json& json, const char* name)
{
    const auto found = json.find(name);
    return found != json.end() && found->is_string() ? found->get<std::string>() : "";
}

/// Returns the recorded status of an answer, or nothing if it is not that of a final response.
std::optional<unsigned> final_status_field(const nlohmann::json& json, const char* name)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_number_unsigned())
        return std::nullopt;
    const auto status = found->get<std::uint64_t>();
    const bool is_final =
        status <= std::numeric_limits<unsigned>::max() && http::is_final_status(static_cast<unsigned>(status));
    return is_final ? std::optional{static_cast<unsigned>(status)} : std::nullopt;
}

std::optional<claim_record> record_from(const std::optional<kv_entry>& entry)
{
    return entry ? std::optional{parse_claim(entry->value)} : std::nullopt;
}

std::int64_t modify_index_of(const std::optional<kv_entry>& entry)
{
    return entry ? entry->modify_index : 0;
}

plain_call_event::any claim_taken_event(const claim_record& record)
{
    return plain_call_event::claim_taken{record};
}

} // namespace

claim_decision decide_claim(const claim_request& request, const std::optional<claim_record>& record, std::int64_t index)
{
    using step = claim_decision::next_step;
    if (!record)
        return {step::retry_write, 0};
    if (record->owner == request.owner && record->status == claim_status::in_progress)
        return {step::claimed, index};
    if (record->status == claim_status::not_run)
        return {step::retry_write, index};
    return {step::already_claimed, index};
}

claim_store::claim_store(kv_client& kv) : kv(kv) {}

std::string claim_store::claim_key(const claim_request& request)
{
    return "radishstep/claims/" + sha256_hex(request.client + "\n" + request.idempotency_key);
}

asio::awaitable<plain_call_event::any> claim_store::claim(claim_request request)
{
    const time_point deadline = runtime_clock::now() + claim_timeout;
    const std::string key = claim_key(request);
    claim_record own_record;
    own_record.owner = request.owner;
    own_record.fingerprint = request.fingerprint;
    const std::string value = to_json(own_record);
    std::int64_t index = 0;
    milliseconds backoff = initial_backoff;
    while (runtime_clock::now() < deadline) {
        const auto written = co_await this->kv.compare_and_swap(key, value, index);
        if (written && *written)
            co_return plain_call_event::claimed{};
        // Another owner holds the key, or the response to our own write was lost.
        const auto found = co_await this->kv.get(key);
        if (found) {
            const auto record = record_from(*found);
            const claim_decision decision = decide_claim(request, record, modify_index_of(*found));
            if (decision.next == claim_decision::next_step::claimed)
                co_return plain_call_event::claimed{};
            if (decision.next == claim_decision::next_step::already_claimed)
                co_return claim_taken_event(*record);
            index = decision.index;
        }
        co_await pause_for(backoff);
        backoff = std::min(backoff * 2, max_backoff);
    }
    count("radishstep_claims_unavailable_total");
    co_return plain_call_event::claim_failed{};
}

asio::awaitable<bool> claim_store::record(claim_request request, claim_record outcome)
{
    const time_point deadline = runtime_clock::now() + record_timeout;
    const std::string key = claim_key(request);
    outcome.owner = request.owner;
    const std::string value = to_json(outcome);
    milliseconds backoff = initial_backoff;
    while (runtime_clock::now() < deadline) {
        const auto found = co_await this->kv.get(key);
        if (found && found->has_value()) {
            const claim_record record = parse_claim((*found)->value);
            const bool is_own_open_claim = record.owner == request.owner && record.status == claim_status::in_progress;
            if (!is_own_open_claim)
                co_return record == outcome;
            const auto written = co_await this->kv.compare_and_swap(key, value, (*found)->modify_index);
            if (written && *written)
                co_return true;
        }
        co_await pause_for(backoff);
        backoff = std::min(backoff * 2, max_backoff);
    }
    count("radishstep_claim_outcomes_lost_total");
    co_return false;
}

std::string to_json(const claim_record& record)
{
    const nlohmann::json json{{"owner", record.owner},
                              {"fingerprint", record.fingerprint},
                              {"status", status_name(record.status)},
                              {"http_status", record.http_status},
                              {"content_type", record.content_type},
                              {"body", to_base64(record.body)}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

claim_record parse_claim(const std::string& text)
{
    claim_record record;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return record;
    record.owner = text_field(json, "owner");
    record.fingerprint = text_field(json, "fingerprint");
    record.status = parse_status(text_field(json, "status"));
    if (record.status != claim_status::answered)
        return record;
    const auto http_status = final_status_field(json, "http_status");
    auto body = from_base64(text_field(json, "body"));
    if (!http_status || !body) {
        count("radishstep_claim_answers_unusable_total");
        log_decision("claim_unusable", {{"request", record.owner},
                                        {"cause", http_status ? "the body is not Base64" : "the status is not final"}});
        record.status = claim_status::in_progress;
        return record;
    }
    record.http_status = *http_status;
    record.content_type = text_field(json, "content_type");
    record.body = std::move(*body);
    return record;
}

} // namespace radishstep
