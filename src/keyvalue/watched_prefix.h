#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"
#include "keyvalue/key_value_store.h"

namespace radishstep {

/// Callbacks for the state of a watched prefix and its changes.
struct prefix_hooks
{
    /// Receives all keys after the first read and after every further full read.
    std::function<void(const std::vector<key_change>&)> on_snapshot;
    /// Receives one change.
    std::function<void(const key_change&)> on_change;
    /// Called when the store becomes unavailable.
    std::function<void()> on_unavailable;
    /// Called when the store answers again.
    std::function<void()> on_available;
};

/// Timing of a watched prefix. With shorter times changes are seen earlier; longer ones put less load on the store.
struct watch_timing
{
    /// Delay between received changes and the next watch, so that one call returns several changes.
    milliseconds batch_delay{0};
    /// Timeout of the first watch after changes or a failure.
    milliseconds first_watch_timeout{0};
    /// Upper bound of the pause between failed calls.
    milliseconds max_backoff{0};
};

/// Follows all keys under a prefix: reads them once, then watches them, and reads them again after a failure and
/// when the store has compacted its history. Failed calls are retried with jittered exponential backoff.
class watched_prefix
{
public:
    /// Timeout of a watch: the longest that the store allows, since every call adds load. A dead connection is
    /// detected earlier by its keep-alive probes.
    static constexpr milliseconds watch_timeout{25'000};
    /// Longest pause after the first failed call.
    static constexpr milliseconds initial_backoff{60};
    /// A change that another host has seen counts as missed here after this time plus the batch delay: a slow store
    /// takes some hundred milliseconds to deliver it.
    static constexpr milliseconds expected_propagation_delay{600};

    watched_prefix(key_value_store& store, std::string prefix, watch_timing timing, prefix_hooks hooks);

    /// Follows the prefix until the process ends.
    boost::asio::awaitable<void> run();

    const std::string& name() const { return this->prefix; }

    /// Returns the revision of the newest known change, or 0.
    std::int64_t newest_revision() const { return this->newest_change_revision; }

    /// Records that another host has seen a change with this revision.
    void record_peer_revision(std::int64_t revision, time_point now);

    /// Replaces the watch by a new one if a change that another host has seen is still missing here after the expected
    /// delay: the store has dropped the watch without closing it. Reads all keys if a new watch did not help. Unlike
    /// restart_watch(), it does not make the store count as unavailable.
    void recover_missed_changes(time_point now);

    /// Ends the current backoff pause, because the store has answered another call.
    void retry_now() { this->must_retry = true; }

    /// Aborts the pending watch; the store counts as unavailable until it answers the next call.
    void restart_watch();

private:
    boost::asio::awaitable<bool> read_all();
    boost::asio::awaitable<bool> watch_once();
    boost::asio::awaitable<void> back_off(const error& reason);
    void record_success();

    key_value_store& store;
    std::string prefix;
    watch_timing timing;
    prefix_hooks hooks;
    /// All changes up to this revision have been received.
    std::int64_t revision = 0;
    std::int64_t newest_change_revision = 0;
    /// The newest revision that another host has seen; missing here since `missing_since` if above `revision`.
    std::int64_t missing_revision = 0;
    time_point missing_since;
    /// The missing revision for which the watch was last replaced.
    std::int64_t last_recovered_revision = 0;
    /// recover_missed_changes() has aborted the watch, so its failure does not mean that the store is unavailable.
    bool is_recovering_missed_change = false;
    bool has_snapshot = false;
    bool is_unavailable = false;
    bool must_retry = false;
    /// The last watch returned without changes.
    bool is_last_watch_empty = false;
    milliseconds next_backoff = initial_backoff;
};

} // namespace radishstep
