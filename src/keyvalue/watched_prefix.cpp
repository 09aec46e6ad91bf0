#include "keyvalue/watched_prefix.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"

namespace radishstep {

namespace asio = boost::asio;

watched_prefix::watched_prefix(key_value_source& source, std::string prefix, milliseconds batch_pause,
                               prefix_hooks hooks)
    : source(source), prefix(std::move(prefix)), batch_pause(batch_pause), hooks(std::move(hooks))
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

asio::awaitable<bool> watched_prefix::read_all()
{
    auto got = co_await this->source.read_all(this->prefix);
    if (!got) {
        co_await this->pause_after_failure(got.error());
        co_return false;
    }
    this->note_answer();
    this->revision = got->revision;
    this->has_read = true;
    log_state("keys_read", {{"prefix", this->prefix},
                            {"keys", std::to_string(got->items.size())},
                            {"revision", std::to_string(got->revision)}});
    this->hooks.on_all(got->items);
    co_return true;
}

asio::awaitable<bool> watched_prefix::watch_once()
{
    const milliseconds wait = std::exchange(this->is_quiet, false) ? watch_time : first_watch_time;
    auto got = co_await this->source.watch(this->prefix, this->revision, wait);
    if (!got) {
        // Changes may have been missed that a new watch would only tell of much later.
        this->has_read = false;
        co_await this->pause_after_failure(got.error());
        co_return false;
    }
    if (got->is_history_lost) {
        this->has_read = false;
        count("radishstep_keyvalue_history_lost_total", {{"prefix", this->prefix}});
        co_return true;
    }
    this->revision = std::max(this->revision, got->revision);
    this->note_answer();
    this->is_quiet = got->changes.empty();
    for (const stored_change& change : got->changes)
        this->hooks.on_change(change);
    if (!got->changes.empty())
        co_await pause_for(this->batch_pause);
    co_return true;
}

asio::awaitable<void> watched_prefix::pause_after_failure(const error& reason)
{
    count("radishstep_keyvalue_failed_total", {{"prefix", this->prefix}});
    if (!std::exchange(this->is_lost, true)) {
        log_problem("keyvalue_lost", {{"prefix", this->prefix}, {"cause", describe(reason)}});
        this->hooks.on_lost();
    }
    static thread_local std::minstd_rand random{std::random_device{}()};
    const std::uniform_int_distribution<milliseconds::rep> jittered{this->next_pause.count() / 2,
                                                                    this->next_pause.count()};
    const milliseconds pause{std::uniform_int_distribution<milliseconds::rep>{jittered.param()}(random)};
    this->next_pause = std::min(this->next_pause * 2, longest_pause);
    co_await pause_for(pause);
}

void watched_prefix::note_answer()
{
    this->next_pause = first_pause;
    if (!std::exchange(this->is_lost, false))
        return;
    log_state("keyvalue_regained", {{"prefix", this->prefix}, {"revision", std::to_string(this->revision)}});
    this->hooks.on_regained();
}

} // namespace radishstep
