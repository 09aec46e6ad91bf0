#include "keyvalue/claim_store.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "base/text.h"
#include "keyvalue/kv_client.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr milliseconds claim_time{2'000};
constexpr milliseconds record_time{120'000};
constexpr milliseconds first_pause{20};
constexpr milliseconds longest_pause{2'000};

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

claim_status status_of(const std::string& name)
{
    if (name == "answered")
        return claim_status::answered;
    return name == "not_run" ? claim_status::not_run : claim_status::in_progress;
}

std::optional<claim_record> record_in(const std::optional<kv_entry>& entry)
{
    return entry ? std::optional{parse_claim(entry->value)} : std::nullopt;
}

std::int64_t index_of(const std::optional<kv_entry>& entry)
{
    return entry ? entry->modify_index : 0;
}

plain_call_event::any taken_by(const claim_record& record)
{
    return plain_call_event::claim_taken{record};
}

} // namespace

claim_decision decide_claim(const claim_request& wish, const std::optional<claim_record>& record, std::int64_t index)
{
    using step = claim_decision::next_step;
    if (!record)
        return {step::write_again, 0};
    if (record->owner == wish.owner && record->status == claim_status::in_progress)
        return {step::claimed, index};
    if (record->status == claim_status::not_run)
        return {step::write_again, index};
    return {step::taken, index};
}

claim_store::claim_store(kv_client& store) : store(store) {}

std::string claim_store::key_of(const claim_request& wish)
{
    return "radishstep/claims/" + sha256_hex(wish.client + "\n" + wish.idempotency_key);
}

asio::awaitable<plain_call_event::any> claim_store::claim(claim_request wish)
{
    const time_point give_up_at = runtime_clock::now() + claim_time;
    const std::string key = key_of(wish);
    claim_record mine;
    mine.owner = wish.owner;
    mine.fingerprint = wish.fingerprint;
    const std::string value = to_json(mine);
    std::int64_t index = 0;
    milliseconds pause = first_pause;
    while (runtime_clock::now() < give_up_at) {
        const auto written = co_await this->store.compare_and_swap(key, value, index);
        if (written && *written)
            co_return plain_call_event::claimed{};
        // Either somebody else holds the key, or the answer to our own write was lost.
        const auto found = co_await this->store.get(key);
        if (found) {
            const auto record = record_in(*found);
            const claim_decision verdict = decide_claim(wish, record, index_of(*found));
            if (verdict.next == claim_decision::next_step::claimed)
                co_return plain_call_event::claimed{};
            if (verdict.next == claim_decision::next_step::taken)
                co_return taken_by(*record);
            index = verdict.index;
        }
        co_await pause_for(pause);
        pause = std::min(pause * 2, longest_pause);
    }
    count("radishstep_claims_unavailable_total");
    co_return plain_call_event::claim_failed{};
}

asio::awaitable<bool> claim_store::record(claim_request wish, claim_record outcome)
{
    const time_point give_up_at = runtime_clock::now() + record_time;
    const std::string key = key_of(wish);
    outcome.owner = wish.owner;
    const std::string value = to_json(outcome);
    milliseconds pause = first_pause;
    while (runtime_clock::now() < give_up_at) {
        const auto found = co_await this->store.get(key);
        if (found && found->has_value()) {
            const claim_record record = parse_claim((*found)->value);
            const bool is_ours_and_open = record.owner == wish.owner && record.status == claim_status::in_progress;
            if (!is_ours_and_open)
                co_return record == outcome;
            const auto written = co_await this->store.compare_and_swap(key, value, (*found)->modify_index);
            if (written && *written)
                co_return true;
        }
        co_await pause_for(pause);
        pause = std::min(pause * 2, longest_pause);
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
    record.owner = json.value("owner", "");
    record.fingerprint = json.value("fingerprint", "");
    record.status = status_of(json.value("status", ""));
    record.http_status = json.value("http_status", 0U);
    record.content_type = json.value("content_type", "");
    record.body = from_base64(json.value("body", "")).value_or("");
    return record;
}

} // namespace radishstep
