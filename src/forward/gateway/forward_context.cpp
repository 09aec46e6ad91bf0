#include "forward/gateway/forward_context.h"

#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/text.h"
#include "forward/serving/request_rules.h"

namespace radishstep::forward {

namespace {

void report_record(const crash_record& record, const crash_tally& known)
{
    count("radishstep_forward_crash_records_total");
    const auto age = std::chrono::duration_cast<milliseconds>(runtime_clock::now() - record.crashed_at);
    log_decision("crash_recorded", {{"endpoint", record.incarnation},
                                    {"parts", join_first(record.parts)},
                                    {"age_ms", std::to_string(age.count())},
                                    {"seen_by", record.seen_by},
                                    {"endpoints", std::to_string(known.endpoints)},
                                    {"crashes", std::to_string(known.crashes)}});
}

void report_refutation(const crash_record& record)
{
    count("radishstep_forward_crash_refutations_total");
    const auto age = std::chrono::duration_cast<milliseconds>(runtime_clock::now() - record.crashed_at);
    log_decision("crash_refuted", {{"endpoint", record.incarnation},
                                   {"parts", join_first(record.parts)},
                                   {"age_ms", std::to_string(age.count())}});
}

void report_unconfirmed(const crash_record& lost)
{
    count("radishstep_forward_losses_unconfirmed_total");
    log_decision("loss_unconfirmed", {{"endpoint", lost.incarnation}, {"parts", join_first(lost.parts)}});
}

void report_quarantine(const part_quarantine& quarantine)
{
    count("radishstep_forward_parts_quarantined_total");
    const auto remaining = std::chrono::duration_cast<std::chrono::seconds>(quarantine.until - runtime_clock::now());
    log_state("part_quarantined", {{"part", quarantine.part},
                                   {"combination", join_first(quarantine.combination)},
                                   {"crashes", std::to_string(quarantine.crashes)},
                                   {"seen_by", quarantine.seen_by},
                                   {"seconds", std::to_string(remaining.count())}});
}

/// Longest part of an unusable value that is logged.
constexpr std::size_t max_logged_value_bytes = 40;

std::string to_string(call_kind call)
{
    switch (call) {
    case call_kind::plain:
        return "plain answer";
    case call_kind::prefill:
        return "prefill answer";
    case call_kind::decode:
        return "decode answer";
    case call_kind::release:
        return "release answer";
    case call_kind::phase_order:
        return "order answer";
    }
    return "";
}

std::string_view state_name(notice_event event)
{
    switch (event) {
    case notice_event::leaving_started:
        return "endpoint_leaving";
    case notice_event::leaving_ended:
        return "endpoint_leaving_ended";
    case notice_event::pause_started:
        return "endpoint_paused";
    case notice_event::pause_extended:
        return "endpoint_pause_extended";
    case notice_event::pause_ended:
        return "endpoint_pause_ended";
    }
    return "";
}

void log_changes(const std::vector<notice_change>& changes)
{
    for (const notice_change& change : changes) {
        const bool is_paused = change.remaining > milliseconds{0};
        log_state(state_name(change.event),
                  {{"endpoint", change.incarnation},
                   {"source", to_string(change.source)},
                   {"age_ms", std::to_string(change.age.count())},
                   {"until_ms", is_paused ? std::to_string(wall_clock_ms() + change.remaining.count()) : "none"}});
    }
}

} // namespace

forward_context::forward_context(const boost::asio::any_io_executor& executor, const forward_dialect& dialect,
                                 std::string zone)
    : executor(executor), dialect(dialect), http_client(executor),
      chooser(this->directory, this->load, this->health, this->notices, this->model, std::move(zone)),
      checker(executor), random(std::random_device{}())
{
    this->checker.on_checked = [this](const std::string& incarnation, http::connection_state state) {
        this->record_endpoint_check(incarnation, state);
    };
    this->suspects.on_record = report_record;
    this->suspects.on_refutation = report_refutation;
    this->suspects.on_unconfirmed = report_unconfirmed;
    this->suspects.on_quarantine = report_quarantine;
    this->suspects.on_release = [](const part_quarantine& quarantine) {
        log_state("part_released", {{"part", quarantine.part}, {"crashes", std::to_string(quarantine.crashes)}});
    };
    this->suspects.on_news = [this] { this->notify_load_change(true); };
    this->trials.on_news = [this] { this->notify_load_change(true); };
}

double forward_context::draw()
{
    return std::uniform_real_distribution<double>{0, 1}(this->random);
}

void forward_context::notify_load_change(bool is_urgent) const
{
    if (this->on_load_change)
        this->on_load_change(is_urgent);
}

void forward_context::record_call_failure(const std::string& incarnation, error_kind kind)
{
    if (kind == error_kind::connection_refused) {
        this->mark_down(incarnation, true);
        return;
    }
    const call_outcome outcome = may_have_arrived(kind) ? call_outcome::lost : call_outcome::unreachable;
    this->health.record_outcome(incarnation, outcome, runtime_clock::now());
}

void forward_context::record_lost_request(const endpoint& target, const std::vector<std::string>& traits,
                                          time_point sent_at, std::optional<time_point> first_event_at)
{
    if (!this->directory.accepts_work(target))
        return;
    count(first_event_at ? "radishstep_forward_lost_after_first_event_total"
                         : "radishstep_forward_lost_before_first_event_total");
    const time_point now = runtime_clock::now();
    const auto since = [now](time_point start) {
        return std::chrono::duration_cast<std::chrono::microseconds>(now - start);
    };
    std::optional<std::chrono::microseconds> answered_for;
    if (first_event_at)
        answered_for = since(*first_event_at);
    this->suspects.record_lost_request(target.incarnation(), traits, now, since(sent_at), answered_for);
    this->checker.check(target);
}

void forward_context::record_silent_request(const endpoint& target, const std::vector<std::string>& traits,
                                            time_point sent_at, std::optional<time_point> first_event_at,
                                            time_point ended_at)
{
    const std::string incarnation = target.incarnation();
    const bool is_leaving = std::ranges::any_of(this->directory.entries(), [&](const auto& entry) {
        return entry.second.incarnation() == incarnation && entry.second.is_draining;
    });
    if (is_leaving)
        return;
    count("radishstep_forward_lost_in_silence_total");
    log_decision("request_silent", {{"endpoint", target.id}, {"traits", join_first(traits)}});
    const auto until_end = [ended_at](time_point start) {
        return std::chrono::duration_cast<std::chrono::microseconds>(ended_at - std::min(start, ended_at));
    };
    std::optional<std::chrono::microseconds> answered_for;
    if (first_event_at)
        answered_for = until_end(*first_event_at);
    this->suspects.record_lost_request(incarnation, traits, ended_at, until_end(sent_at), answered_for);
}

void forward_context::tell_silent_calls()
{
    for (open_call* call : this->breaks.silent_calls(runtime_clock::now())) {
        if (const auto ended_at = this->suspects.down_since(call->endpoint_incarnation(), call->sent_time()))
            call->tell_process_end(*ended_at);
    }
}

void forward_context::report_suspect_send(const std::string& request_id, const endpoint& target,
                                          const std::vector<std::string>& traits) const
{
    const crash_tally known = this->suspects.tally(traits);
    if (known.endpoints == 0)
        return;
    count("radishstep_forward_suspect_sends_total");
    log_decision("suspect_sent", {{"request", request_id},
                                  {"endpoint", target.id},
                                  {"endpoints", std::to_string(known.endpoints)},
                                  {"crashes", std::to_string(known.crashes)}});
}

void forward_context::report_untrue_refusal(const std::string& request_id, const endpoint& source,
                                            unsigned status) const
{
    count("radishstep_forward_untrue_refusals_total", {{"status", std::to_string(status)}});
    log_decision("untrue_refusal",
                 {{"request", request_id}, {"endpoint", source.id}, {"status", std::to_string(status)}});
}

bool forward_context::is_quarantined(const std::vector<std::string>& traits, bool may_have_run) const
{
    const time_point now = runtime_clock::now();
    return may_have_run ? !this->suspects.may_retry(traits, now)
                        : this->suspects.quarantined_until(traits, now).has_value();
}

bool forward_context::is_too_late_for_stop(time_point arrived_at, milliseconds timeout) const
{
    return this->stop_deadline && this->callers_moved_at && arrived_at >= *this->callers_moved_at &&
           arrived_at + timeout > *this->stop_deadline;
}

void forward_context::mark_down(const std::string& incarnation, bool has_refused)
{
    const time_point now = runtime_clock::now();
    if (has_refused)
        this->suspects.record_process_end(incarnation, now, now);
    else
        this->suspects.record_endpoint_down(incarnation, now);
    if (this->health.record_down({incarnation, now, has_refused}))
        log_state("endpoint_down", {{"endpoint", incarnation}, {"seen_by", "this host"}});
    // One that is left for another engine is soon gone.
    this->tell_silent_calls();
    this->notify_load_change(true);
}

void forward_context::record_endpoint_check(const std::string& incarnation, http::connection_state state)
{
    if (state == http::connection_state::refused) {
        this->mark_down(incarnation, true);
        return;
    }
    const time_point now = runtime_clock::now();
    if (!this->breaks.has_ended(incarnation, now))
        return;
    log_state("endpoint_ended", {{"endpoint", incarnation}, {"cause", "it broke off all its calls together"}});
    this->suspects.record_process_end(incarnation, now, now);
}

void forward_context::record_notice(const endpoint& source, call_kind call, const std::string& request_id,
                                    const http::response& head)
{
    const endpoint_notice notice = this->dialect.parse_notice(request_id, head);
    if (!notice.unusable_value.empty()) {
        count("radishstep_forward_notices_total", {{"notice", "unusable"}});
        log_decision("notice_unusable", {{"request", request_id},
                                         {"endpoint", source.incarnation()},
                                         {"value", notice.unusable_value.substr(0, max_logged_value_bytes)}});
    }
    if (notice.is_leaving)
        count("radishstep_forward_notices_total", {{"notice", "leaving"}});
    if (notice.pause)
        count("radishstep_forward_notices_total", {{"notice", "pause"}});
    const heard_answer answer{source, call, runtime_clock::now(), wall_clock_ms()};
    log_changes(this->notices.record(answer, notice, this->draw()));
}

void forward_context::forget_replaced_notices(const endpoint& registered)
{
    log_changes(this->notices.forget_replaced(registered, runtime_clock::now()));
}

void forward_context::expire_notices()
{
    log_changes(this->notices.expire(this->directory, runtime_clock::now()));
    const auto set_count = [](const std::string& state, std::size_t endpoints) {
        set_gauge("radishstep_forward_endpoints_held_back", static_cast<double>(endpoints), {{"state", state}});
    };
    set_count("leaving", this->notices.leaving_count());
    set_count("paused", this->notices.pause_count());
}

std::optional<milliseconds> forward_context::caller_retry_delay(const std::string& service, error_kind reason,
                                                                bool may_have_run, milliseconds remaining)
{
    const time_point now = runtime_clock::now();
    const auto pause_end = this->chooser.earliest_pause_end(service, now);
    const bool is_for_want_of_endpoints = reason == error_kind::overloaded || reason == error_kind::no_endpoint;
    if (!pause_end || !is_for_want_of_endpoints || may_have_run)
        return retry_after_delay(reason, may_have_run, remaining);
    return retry_delay_after_pause(std::chrono::ceil<milliseconds>(*pause_end - now), this->draw());
}

std::vector<queue_head> forward_context::queue_heads() const
{
    std::vector<queue_head> heads;
    for (const auto& [service, queue] : this->request_queues) {
        if (const auto first = queue.front())
            heads.push_back({service, first->rank});
    }
    return heads;
}

load_guard::load_guard(forward_context& context, std::string incarnation, endpoint_load work)
    : context(context), incarnation(std::move(incarnation)), work(work)
{
    this->context.load.add_work(this->incarnation, this->work);
    this->context.notify_load_change(this->work.tokens > 0);
}

load_guard::~load_guard()
{
    this->end();
}

void load_guard::add_tokens(std::int64_t tokens)
{
    // Growth alone triggers no load report; the next report includes it.
    this->work.tokens += tokens;
    this->context.load.add_tokens(this->incarnation, tokens);
}

void load_guard::end()
{
    if (std::exchange(this->has_ended, true))
        return;
    this->context.load.remove_work(this->incarnation, this->work);
    this->context.notify_load_change(this->work.tokens > 0);
}

} // namespace radishstep::forward
