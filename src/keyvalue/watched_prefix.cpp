#include "keyvalue/watched_prefix.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"

namespace radishstep {

namespace asio = boost::asio;

watched_prefix::watched_prefix(key_value_store& source, std::string prefix, watch_timing pace, prefix_hooks hooks)
    : source(source), prefix(std::move(prefix)), pace(pace), hooks(std::move(hooks))
{
}

asio::awaitable<void> watched_prefix::run()
{
    while (true) {
        const bool is_answered = this->has_read ? co_await this->watch_once() : co_await this->read_all();
        if (is_answered)
            this->note_answer();
    }
}

void watched_prefix::record_peer_revision(std::int64_t revision, time_point now)
{
    if (revision <= this->revision)
        return;
    if (this->missed <= this->revision)
        this->missed_since = now;
    this->missed = std::max(this->missed, revision);
}

void watched_prefix::recover_missed_changes(time_point now)
{
    if (this->missed <= this->revision || this->is_lost ||
        now < this->missed_since + this->pace.batch_pause + usual_lag)
        return;
    count("radishstep_keyvalue_changes_missed_total", {{"prefix", this->prefix}});
    log_problem("change_missed", {{"prefix", this->prefix},
                                  {"known", std::to_string(this->revision)},
                                  {"seen_elsewhere", std::to_string(this->missed)},
                                  {"since_ms", std::to_string(to_ms(now - this->missed_since))}});
    this->missed_since = now;
    this->is_catching_up = true;
    // The history tells what was missed, unless a new watch misses it too.
    if (std::exchange(this->rewatched_for, this->missed) == this->missed)
        this->has_read = false;
    this->source.cancel_watches(this->prefix);
}

void watched_prefix::restart_watch()
{
    this->source.cancel_watches(this->prefix);
}

asio::awaitable<bool> watched_prefix::read_all()
{
    count("radishstep_keyvalue_calls_total", {{"prefix", this->prefix}, {"call", "read"}});
    auto got = co_await this->source.read_all(this->prefix);
    if (!got) {
        co_await this->pause_after_failure(got.error());
        co_return false;
    }
    this->note_answer();
    this->revision = got->revision;
    this->has_read = true;
    for (const key_change& item : got->items)
        this->newest = std::max(this->newest, item.revision);
    log_state("keys_read", {{"prefix", this->prefix},
                            {"keys", std::to_string(got->items.size())},
                            {"revision", std::to_string(got->revision)}});
    this->hooks.on_snapshot(got->items);
    co_return true;
}

asio::awaitable<bool> watched_prefix::watch_once()
{
    const milliseconds wait = std::exchange(this->is_quiet, false) ? watch_timeout : this->pace.first_watch;
    count("radishstep_keyvalue_calls_total", {{"prefix", this->prefix}, {"call", "watch"}});
    auto got = co_await this->source.watch(this->prefix, this->revision, wait);
    if (!got) {
        // A watch that was given up for a missed change does not mean that the service is lost.
        if (std::exchange(this->is_catching_up, false))
            co_return false;
        // Changes may have been missed that a new watch would only tell of much later.
        this->has_read = false;
        co_await this->pause_after_failure(got.error());
        co_return false;
    }
    this->is_catching_up = false;
    if (got->is_history_compacted) {
        this->has_read = false;
        count("radishstep_keyvalue_history_lost_total", {{"prefix", this->prefix}});
        co_return true;
    }
    this->revision = std::max(this->revision, got->revision);
    this->note_answer();
    this->is_quiet = got->changes.empty();
    for (const key_change& change : got->changes) {
        this->newest = std::max(this->newest, change.revision);
        this->hooks.on_change(change);
    }
    if (!got->changes.empty())
        co_await pause_for(this->pace.batch_pause);
    co_return true;
}

asio::awaitable<void> watched_prefix::pause_after_failure(const error& reason)
{
    count("radishstep_keyvalue_failed_total", {{"prefix", this->prefix}});
    if (!std::exchange(this->is_lost, true)) {
        log_problem("keyvalue_lost", {{"prefix", this->prefix}, {"cause", describe(reason)}});
        this->hooks.on_unavailable();
    }
    const milliseconds pause = jittered(this->next_pause / 2, this->next_pause);
    this->next_pause = std::min(this->next_pause * 2, this->pace.longest_pause);
    this->must_retry = false;
    co_await pause_unless([this] { return this->must_retry; }, pause);
}

void watched_prefix::note_answer()
{
    this->next_pause = first_pause;
    if (!std::exchange(this->is_lost, false))
        return;
    log_state("keyvalue_regained", {{"prefix", this->prefix}, {"revision", std::to_string(this->revision)}});
    this->hooks.on_available();
}

} // namespace radishstep
