#include "keyvalue/watched_prefix.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"

namespace radishstep {

namespace asio = boost::asio;

watched_prefix::watched_prefix(key_value_store& store, std::string prefix, watch_timing timing, prefix_hooks hooks)
    : store(store), prefix(std::move(prefix)), timing(timing), hooks(std::move(hooks))
{
}

asio::awaitable<void> watched_prefix::run()
{
    while (true) {
        const bool is_successful = this->has_snapshot ? co_await this->watch_once() : co_await this->read_all();
        if (is_successful)
            this->record_success();
    }
}

void watched_prefix::record_peer_revision(std::int64_t revision, time_point now)
{
    if (revision <= this->revision)
        return;
    if (this->missing_revision <= this->revision)
        this->missing_since = now;
    this->missing_revision = std::max(this->missing_revision, revision);
}

void watched_prefix::recover_missed_changes(time_point now)
{
    // A read under way returns the changes, too.
    if (this->missing_revision <= this->revision || this->is_unavailable || !this->has_snapshot ||
        now < this->missing_since + this->timing.batch_delay + expected_propagation_delay)
        return;
    count("radishstep_keyvalue_changes_missed_total", {{"prefix", this->prefix}});
    log_problem("change_missed", {{"prefix", this->prefix},
                                  {"known", std::to_string(this->revision)},
                                  {"seen_elsewhere", std::to_string(this->missing_revision)},
                                  {"since_ms", std::to_string(to_ms(now - this->missing_since))}});
    this->missing_since = now;
    this->is_recovering_missed_change = true;
    // A new watch returns the missed changes from the store's history; if it misses them too, read all keys.
    if (std::exchange(this->last_recovered_revision, this->missing_revision) == this->missing_revision)
        this->has_snapshot = false;
    this->store.cancel_watches(this->prefix);
}

void watched_prefix::restart_watch()
{
    this->store.cancel_watches(this->prefix);
}

asio::awaitable<bool> watched_prefix::read_all()
{
    if (this->reading.pages > 0 && this->reading.caught_up_at + max_reading_pause < runtime_clock::now())
        this->reading = {};
    do {
        if (this->reading.pages == 0)
            this->reading.started_at = this->reading.caught_up_at = runtime_clock::now();
        count("radishstep_keyvalue_calls_total", {{"prefix", this->prefix}, {"call", "read"}});
        auto page =
            co_await this->store.read_page(this->prefix, this->reading.last_key.value_or(""), this->page_timeout);
        if (!page) {
            // The pages that have been read are kept; the next attempt goes on after them.
            if (page.error().kind == error_kind::timed_out)
                this->page_timeout =
                    std::min(this->page_timeout * 2, std::max(this->timing.max_page_timeout, min_page_timeout));
            co_await this->back_off(page.error());
            co_return false;
        }
        this->add_page(std::move(*page));
        if (this->reading.last_key && !this->has_had_snapshot && !co_await this->catch_up())
            co_return false;
    } while (this->reading.last_key);
    this->record_success();
    this->apply_snapshot();
    co_return true;
}

void watched_prefix::add_page(range_page page)
{
    this->next_backoff = initial_backoff;
    // The pages may have different revisions. A watch from the first one's returns the changes made while the others
    // were read.
    if (this->reading.pages == 0)
        this->reading.revision = page.range.revision;
    ++this->reading.pages;
    this->reading.last_key = page.last_key;
    if (page.last_key && !this->has_had_snapshot && this->hooks.on_first_keys)
        this->hooks.on_first_keys(page.range.items);
    for (key_change& item : page.range.items) {
        std::string key = item.key;
        this->reading.items.insert_or_assign(std::move(key), std::move(item));
    }
}

asio::awaitable<bool> watched_prefix::catch_up()
{
    if (!this->hooks.on_first_keys || runtime_clock::now() < this->reading.caught_up_at + max_first_keys_age)
        co_return true;
    count("radishstep_keyvalue_calls_total", {{"prefix", this->prefix}, {"call", "watch"}});
    const time_point sent_at = runtime_clock::now();
    auto response = co_await this->store.watch(this->prefix, this->reading.revision, catch_up_wait);
    if (!response) {
        co_await this->back_off(response.error());
        co_return false;
    }
    if (response->is_history_compacted) {
        this->reading = {};
        co_return false;
    }
    this->reading.caught_up_at = sent_at;
    // A store that has dropped changes returns none; the history is then asked for again from the same revision.
    if (!response->changes.empty())
        this->reading.revision = std::max(this->reading.revision, response->revision);
    for (const key_change& change : response->changes) {
        if (change.value)
            this->reading.items.insert_or_assign(change.key, change);
        else
            this->reading.items.erase(change.key);
        this->hooks.on_change(change);
    }
    co_return true;
}

void watched_prefix::apply_snapshot()
{
    partial_read complete = std::exchange(this->reading, {});
    std::vector<key_change> items;
    items.reserve(complete.items.size());
    for (auto& [key, item] : complete.items) {
        this->newest_change_revision = std::max(this->newest_change_revision, item.revision);
        items.push_back(std::move(item));
    }
    this->revision = complete.revision;
    this->has_snapshot = true;
    this->has_had_snapshot = true;
    this->page_timeout = min_page_timeout;
    log_state("keys_read", {{"prefix", this->prefix},
                            {"keys", std::to_string(items.size())},
                            {"revision", std::to_string(complete.revision)},
                            {"pages", std::to_string(complete.pages)},
                            {"ms", std::to_string(std::lround(to_ms(runtime_clock::now() - complete.started_at)))}});
    this->hooks.on_snapshot(items);
}

asio::awaitable<bool> watched_prefix::watch_once()
{
    const milliseconds wait =
        std::exchange(this->is_last_watch_empty, false) ? watch_timeout : this->timing.first_watch_timeout;
    count("radishstep_keyvalue_calls_total", {{"prefix", this->prefix}, {"call", "watch"}});
    auto response = co_await this->store.watch(this->prefix, this->revision, wait);
    if (!response) {
        // A watch that was aborted for a missed change does not mean that the store is unavailable.
        if (std::exchange(this->is_recovering_missed_change, false))
            co_return false;
        // All keys are read again, since a new watch might return changes missed meanwhile only much later.
        this->has_snapshot = false;
        co_await this->back_off(response.error());
        co_return false;
    }
    this->is_recovering_missed_change = false;
    if (response->is_history_compacted) {
        this->has_snapshot = false;
        count("radishstep_keyvalue_history_lost_total", {{"prefix", this->prefix}});
        co_return true;
    }
    this->revision = std::max(this->revision, response->revision);
    this->record_success();
    this->is_last_watch_empty = response->changes.empty();
    for (const key_change& change : response->changes) {
        this->newest_change_revision = std::max(this->newest_change_revision, change.revision);
        this->hooks.on_change(change);
    }
    if (!response->changes.empty())
        co_await pause_for(this->timing.batch_delay);
    co_return true;
}

asio::awaitable<void> watched_prefix::back_off(const error& reason)
{
    count("radishstep_keyvalue_failed_total", {{"prefix", this->prefix}});
    if (!std::exchange(this->is_unavailable, true)) {
        log_problem("keyvalue_lost", {{"prefix", this->prefix}, {"cause", describe(reason)}});
        this->hooks.on_unavailable();
    }
    const milliseconds backoff = jittered(this->next_backoff / 2, this->next_backoff);
    // Hosts that know nothing yet serve nobody, and a store that refuses calls beyond its rate is up.
    const bool is_start = !this->has_had_snapshot && reason.kind == error_kind::overloaded;
    this->next_backoff = std::min(this->next_backoff * 2, is_start ? max_start_backoff : this->timing.max_backoff);
    this->must_retry = false;
    co_await pause_unless([this] { return this->must_retry; }, backoff);
}

void watched_prefix::record_success()
{
    this->next_backoff = initial_backoff;
    if (!std::exchange(this->is_unavailable, false))
        return;
    log_state("keyvalue_regained", {{"prefix", this->prefix}, {"revision", std::to_string(this->revision)}});
    this->hooks.on_available();
}

} // namespace radishstep
