#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "forward/endpoints/endpoint.h"
#include "forward/endpoints/endpoint_directory.h"
#include "forward/endpoints/endpoint_notice.h"

namespace radishstep::forward {

/// How this host's knowledge of an endpoint changed.
enum class notice_event { leaving_started, leaving_ended, pause_started, pause_extended, pause_ended };

/// A change of this host's knowledge of an endpoint, for its log.
struct notice_change
{
    notice_event event = notice_event::leaving_started;
    std::string incarnation;
    /// The call whose answer carried the notice.
    call_kind source = call_kind::plain;
    /// Time since the endpoint said so for the first time.
    milliseconds age{0};
    /// Time until the pause ends; 0 for events without a pause.
    milliseconds remaining{0};

    bool operator==(const notice_change&) const = default;
};

/// An answer as a source of notices.
struct heard_answer
{
    /// The endpoint that was called, as it was registered.
    const endpoint& source;
    call_kind call = call_kind::plain;
    time_point received_at;
    /// Milliseconds since the Unix epoch when it was received, to compare with start times of endpoints.
    std::int64_t received_wall_ms = 0;
};

/// Which endpoints have told this host that they are leaving or want a pause. Independent of the key-value store, so
/// that it holds during an outage of the store and with an outdated list of endpoints.
///
/// A notice holds for the incarnation that was called. The list may show an older one than the one that answered, so a
/// newer incarnation that had started before the answer came is covered too, for `successor_doubt_time`.
class endpoint_notices
{
public:
    /// How long a notice also covers an incarnation that was registered later and had started before the answer came.
    /// Longer than a leaving endpoint runs on; bounded, because the clocks of hosts and endpoints may differ.
    static constexpr milliseconds successor_doubt_time{60'000};
    /// How long a leaving endpoint is remembered at least. It is remembered longer while it is registered.
    static constexpr milliseconds leaving_retention{600'000};
    /// A pause ends later than the endpoint asked, by a random time of up to a quarter of it, within these bounds, so
    /// that hosts don't return at the same time.
    static constexpr int pause_spread_divisor = 4;
    static constexpr milliseconds min_pause_spread{50};
    static constexpr milliseconds max_pause_spread{2'000};
    /// An extension of a pause by less than this is no change for the log: the answers to calls that were sent before
    /// the pause each extend it a little.
    static constexpr milliseconds min_logged_extension{1'000};

    /// Applies a notice and returns the changes. `draw` is uniform in [0, 1). A pause is never shortened.
    std::vector<notice_change> record(const heard_answer& answer, const endpoint_notice& notice, double draw);

    /// Forgets that an endpoint was leaving once its successor with the same id is registered; returns the changes.
    std::vector<notice_change> forget_replaced(const endpoint& registered, time_point now);

    /// Ends pauses that are over, and forgets leaving endpoints that are no longer registered; returns the changes.
    std::vector<notice_change> expire(const endpoint_directory& directory, time_point now);

    /// Returns whether the endpoint has said that it is leaving.
    bool is_leaving(const endpoint& target, time_point now) const;

    /// Returns the end of the endpoint's pause, or nothing if it does not pause.
    std::optional<time_point> paused_until(const endpoint& target, time_point now) const;

    /// Returns whether the endpoint may be sent a call: it is neither leaving nor paused.
    bool accepts_calls(const endpoint& target, time_point now) const;

    /// Returns whether no endpoint is known to be leaving or to pause.
    bool is_empty() const { return this->leaving.empty() && this->pauses.empty(); }

    /// Returns whether any endpoint pauses; may still count pauses that ended since the last call of expire().
    bool has_pauses() const { return !this->pauses.empty(); }

    /// Returns the number of endpoints that are known to be leaving.
    std::size_t leaving_count() const { return this->leaving.size(); }

    /// Returns the number of endpoints that pause.
    std::size_t pause_count() const { return this->pauses.size(); }

private:
    /// Which incarnation said something, and when.
    struct origin
    {
        std::string incarnation;
        std::int64_t started_ms = 0;
        call_kind source = call_kind::plain;
        time_point first_heard_at;
        time_point last_heard_at;
        std::int64_t last_heard_wall_ms = 0;
    };

    struct leaving_record
    {
        origin heard;
        time_point retained_until;
    };

    struct pause_record
    {
        origin heard;
        time_point ends_at;
        /// The end that was last returned as a change.
        time_point reported_end;
    };

    static origin make_origin(const heard_answer& answer);
    static void update_last_heard(origin& heard, const heard_answer& answer);
    static bool covers(const origin& heard, const endpoint& target, time_point now);
    std::optional<notice_change> record_leaving(const heard_answer& answer);
    std::optional<notice_change> record_pause(const heard_answer& answer, milliseconds pause, double draw);

    /// By id of the endpoint.
    std::map<std::string, leaving_record> leaving;
    std::map<std::string, pause_record> pauses;
};

} // namespace radishstep::forward
