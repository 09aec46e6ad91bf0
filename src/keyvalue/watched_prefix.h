#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"
#include "keyvalue/key_value_store.h"

namespace radishstep {

/// What a watched prefix tells its user.
struct prefix_hooks
{
    /// All keys, after the first reading and whenever history was lost.
    std::function<void(const std::vector<key_change>&)> on_snapshot;
    /// One change.
    std::function<void(const key_change&)> on_change;
    /// The service does not answer.
    std::function<void()> on_unavailable;
    /// The service answers again.
    std::function<void()> on_available;
};

/// How fast a prefix is kept up with, against what its calls cost the service.
struct watch_timing
{
    /// Passes between news and the next watch, so that changes that come together cost one call.
    milliseconds batch_pause{0};
    /// How long the first watch after news or a failure waits.
    milliseconds first_watch{0};
    /// Longest pause between failed calls.
    milliseconds longest_pause{0};
};

/// Keeps up with all keys under a prefix: reads them once, then watches, and reads again when the
/// service has lost history. Pauses between failed calls grow and are jittered.
class watched_prefix
{
public:
    /// How long a watch waits for news: the longest that the service allows, since each call has its
    /// price. A connection that went silent is found by its keep-alive probes.
    static constexpr milliseconds watch_timeout{25'000};
    /// Pause after the first failed call.
    static constexpr milliseconds first_pause{60};
    /// A change that another host has seen may come this much later here, beside the batch pause: a slow service
    /// takes some hundred milliseconds.
    static constexpr milliseconds usual_lag{600};

    watched_prefix(key_value_store& source, std::string prefix, watch_timing pace, prefix_hooks hooks);

    /// Keeps up until the process ends.
    boost::asio::awaitable<void> run();

    const std::string& name() const { return this->prefix; }

    /// Returns the revision of the newest change that was seen, or 0.
    std::int64_t newest_revision() const { return this->newest; }

    /// Takes that another host has seen the change with this revision.
    void record_peer_revision(std::int64_t revision, time_point now);

    /// Opens a new watch when a change that another host has seen is still missing here after the time that changes
    /// usually take, since the watch was lost without a sign; if that does not help, reads everything.
    void recover_missed_changes(time_point now);

    /// Ends a pause after failed calls: the service has answered another call.
    void retry_now() { this->must_retry = true; }

    /// Has the waiting watch fail and counts the service as lost until it answers.
    void restart_watch();

private:
    boost::asio::awaitable<bool> read_all();
    boost::asio::awaitable<bool> watch_once();
    boost::asio::awaitable<void> pause_after_failure(const error& reason);
    void note_answer();

    key_value_store& source;
    std::string prefix;
    watch_timing pace;
    prefix_hooks hooks;
    /// All changes up to this revision are known.
    std::int64_t revision = 0;
    std::int64_t newest = 0;
    /// A change of this revision was seen elsewhere and is missing here, since when.
    std::int64_t missed = 0;
    time_point missed_since;
    /// The missing change for which the last new watch was opened.
    std::int64_t rewatched_for = 0;
    bool is_catching_up = false;
    bool has_read = false;
    bool is_lost = false;
    bool must_retry = false;
    /// The last watch was answered, and without news.
    bool is_quiet = false;
    milliseconds next_pause = first_pause;
};

} // namespace radishstep
