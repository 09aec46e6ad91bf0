#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"
#include "keyvalue/key_value_store.h"

namespace radishstep {

/// Callbacks for the state of a watched prefix and its changes.
struct prefix_hooks
{
    /// Receives all keys after the first read and after every further full read.
    std::function<void(const std::vector<key_change>&)> on_snapshot;
    /// Receives the keys of a page before a range of several pages has been read, only until the first snapshot. May be
    /// empty; changes of these keys are received as usual.
    std::function<void(const std::vector<key_change>&)> on_first_keys;
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
    /// Longest timeout of the read of one page. A store that sends long ranges to all hosts at once takes longer than
    /// usual, and a read that is given up has used its link for nothing.
    milliseconds max_page_timeout{0};
};

/// Follows all keys under a prefix: reads them once, then watches them, and reads them again after a failure and
/// when the store has compacted its history. A range of several pages is read on where a failed call ended it. Failed
/// calls are retried with jittered exponential backoff.
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

    /// Longest pause of a host that knows nothing yet, after the store has refused a call beyond its rate. Shorter than
    /// after other failures: each refusal means that the store serves other hosts at its full rate.
    static constexpr milliseconds max_start_backoff{500};
    /// Pages of a range that could not be read to its end are used for this time: the store's history has to reach
    /// back to the first one.
    static constexpr milliseconds max_reading_pause{5'000};
    /// Timeout of the read of a page; doubled after each one that times out, up to the timing's bound.
    static constexpr milliseconds min_page_timeout{1'500};
    /// While a host that starts uses the keys of the first pages, their changes are asked for at this interval: a sixth
    /// of the shortest time within which an endpoint that drains must get no more work.
    static constexpr milliseconds max_first_keys_age{300};
    /// Timeout of the watch that asks for them, which should return at once.
    static constexpr milliseconds catch_up_wait{1};

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
    /// A range that has been read up to `last_key`.
    struct partial_read
    {
        std::map<std::string, key_change> items;
        std::optional<std::string> last_key;
        /// Later changes may be missing.
        std::int64_t revision = 0;
        int pages = 0;
        time_point started_at;
        /// All changes of the keys read until this time are known.
        time_point caught_up_at;
    };

    boost::asio::awaitable<bool> read_all();
    void add_page(range_page page);
    /// Applies the changes made since the first page, if a host that starts uses the first pages for long. Returns
    /// false if it has failed.
    boost::asio::awaitable<bool> catch_up();
    void apply_snapshot();
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
    /// All keys have been read once since the start.
    bool has_had_snapshot = false;
    partial_read reading;
    milliseconds page_timeout = min_page_timeout;
    bool is_unavailable = false;
    bool must_retry = false;
    /// The last watch returned without changes.
    bool is_last_watch_empty = false;
    milliseconds next_backoff = initial_backoff;
};

} // namespace radishstep
