#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/runtime_clock.h"
#include "forward/suspects/recent_starts.h"

namespace radishstep::forward {

/// A request whose answer had not started, or had just started, when its endpoint crashed. The endpoint's incarnation
/// and the parts identify it. What hosts learn of it later is only ever added, so that copies which meet in any order
/// end up the same.
struct crash_record
{
    std::string incarnation;
    /// The fingerprints of the whole request, and the parts of its prompt that other requests may share.
    std::vector<std::string> parts;
    time_point crashed_at;
    /// The host that told of it, for the log.
    std::string seen_by = "this host";
    /// The parts with which an answer has started since the crash.
    std::set<std::string> cleared = {};
    /// The endpoint has answered since, so it had not crashed, unless a new incarnation answered under its id.
    bool is_refuted = false;
    /// How long the endpoint had had the request. Hosts of earlier versions don't report it.
    std::optional<std::chrono::microseconds> ran_for = std::nullopt;
    /// The endpoint has certainly ended: it refused a connection, broke off all its calls together, or a new
    /// incarnation replaced it, soon after the crash. Goes before a refutation: the answers may have been those of the
    /// new one, whose registration came later.
    bool has_ended = false;
    /// Time from the first event of the answer to the crash; nothing if there was none.
    std::optional<std::chrono::microseconds> answered_for = std::nullopt;

    bool operator==(const crash_record&) const = default;

    /// Returns whether the record counts.
    bool holds() const { return !this->is_refuted || this->has_ended; }
};

/// When an answer to a request with this part last started.
struct part_start
{
    std::string part;
    time_point started_at;

    bool operator==(const part_start&) const = default;
};

/// A combination of parts on which endpoints crash; requests with all of them are refused.
struct part_quarantine
{
    /// The suspected part.
    std::string part;
    /// What the requests that crashed endpoints with that part have in common; contains the part.
    std::vector<std::string> combination;
    int crashes = 0;
    time_point until;
    /// The host that told of the last crash.
    std::string seen_by;

    bool operator==(const part_quarantine&) const = default;
};

/// Known crashes of requests that have a part in common.
struct crash_tally
{
    /// Endpoints that crashed.
    int endpoints = 0;
    /// Crashes that count towards a quarantine; several endpoints that crash together count once.
    int crashes = 0;

    auto operator<=>(const crash_tally&) const = default;
};

/// Finds prompt parts and whole requests that crash each endpoint that starts an answer to them. The fingerprints of a
/// request are parts of it like those of its prompt. A part is suspected while endpoints crash before the first event
/// of requests with it, or soon after, and no answer with it that starts anywhere proves sound. Hosts exchange their
/// records and pass on those of others, so that any host can bring a restarted one up to date. A request is refused
/// only if it has everything in common with the requests that crashed, so that requests which share the caller's other
/// parts are served; each answer to one of those clears the parts that it has.
class crash_suspects
{
public:
    /// Crashes without a started answer after which a part is quarantined.
    static constexpr int crashes_to_quarantine = 2;
    /// The same for a part with which answers have started lately: several endpoints may fail at once for another
    /// reason.
    static constexpr int crashes_to_quarantine_started_part = 3;
    /// Crashes that a request causes follow the first event of its answer within this time, with a wide margin. An
    /// answer shows that its request is sound once it has ended whole or an event comes later than this.
    static constexpr milliseconds crash_onset_time{2'000};
    /// Requests with a first event that are recorded of one crash: those whose answers started last.
    static constexpr std::size_t max_started_per_crash = 16;
    /// Crashes closer together count as one, such as those of a rack that loses power, unless the request was sent to
    /// the later endpoint after the earlier one had crashed.
    static constexpr milliseconds min_crash_interval{200};
    /// How long a lost request waits for evidence that its endpoint crashed, rather than one connection: an endpoint
    /// that crashes loses its registration after several missed heartbeats.
    static constexpr milliseconds confirmation_time{10'000};
    /// How much later than the end of a process the losses that it caused may be noticed.
    static constexpr milliseconds late_loss_margin{1'000};
    /// How long endpoints need to answer other calls before that refutes a crash.
    static constexpr milliseconds refutation_time{1'000};
    /// Length of a quarantine from the last crash. Doubles with each further crash up to the maximum.
    static constexpr std::chrono::seconds first_quarantine{60};
    static constexpr std::chrono::seconds max_quarantine{300};
    /// Length of the first quarantine of a whole request, and of parts with which answers had started before a crash.
    /// Short, since endpoints that crash for another reason may take the same sound request along twice; a request that
    /// crashes endpoints itself is back in quarantine after one more.
    static constexpr std::chrono::seconds first_request_quarantine{5};
    /// How long crashes are remembered, so that one more crash after a quarantine renews it.
    static constexpr std::chrono::seconds record_lifetime{900};
    /// How long started answers are remembered.
    static constexpr std::chrono::seconds start_lifetime{60};
    /// Older records are not passed on. Hosts forget a record at slightly different times, and one that has forgotten
    /// it must not get it back.
    static constexpr std::chrono::seconds max_relayed_age{840};
    /// A host does not pass on what this many others have passed on since its last complete report, so that the traffic
    /// doesn't grow with the fleet.
    static constexpr int sufficient_copies = 3;

    /// Bounds of the memory and of the reports to other hosts.
    static constexpr std::size_t max_records = 128;
    /// Not counting the parts that are in a record.
    static constexpr std::size_t max_known_parts = 8'192;
    /// An entry of a prompt's list has 4 bytes or more, so that no prompt in a header of 64 KiB has more parts.
    static constexpr std::size_t max_parts_per_record = 16'384;
    /// Parts of all records together, and of all unconfirmed ones, about 250 bytes each.
    static constexpr std::size_t max_recorded_parts = 2 * max_parts_per_record;
    static constexpr std::size_t max_reported_records = 8;
    static constexpr std::size_t max_reported_starts = 32;
    /// Quarantines that are announced at a time, and parts that an announcement names of a combination.
    static constexpr std::size_t max_announced_parts = 16;

    /// Called with each record that this host learns of, its own or another host's, and with what is known of its
    /// parts.
    std::function<void(const crash_record&, const crash_tally&)> on_record;
    /// Called when a record ceases to count because its endpoint has answered since.
    std::function<void(const crash_record&)> on_refutation;
    /// Called with each lost request that is forgotten because nothing showed in time that its endpoint was down.
    std::function<void(const crash_record&)> on_unconfirmed;
    /// Called when a quarantine starts or changes.
    std::function<void(const part_quarantine&)> on_quarantine;
    /// Called when a quarantine has ended, or its part was cleared.
    std::function<void(const part_quarantine&)> on_release;
    /// Called when the other hosts should learn of a record or a start soon.
    std::function<void()> on_news;

    /// Records that the connection of a request broke, `ran_for` after it was sent and `answered_for` after its first
    /// event, before its answer had shown it to be sound. It counts once the endpoint is known to be down.
    void record_lost_request(const std::string& incarnation, const std::vector<std::string>& parts, time_point now,
                             std::optional<std::chrono::microseconds> ran_for = std::nullopt,
                             std::optional<std::chrono::microseconds> answered_for = std::nullopt);

    /// Records evidence that an endpoint is down, such as a registration that vanished. Answers refute it.
    void record_endpoint_down(const std::string& incarnation, time_point now);

    /// Records that an endpoint's process had ended by `ended_at`, since it refused a connection or broke off all its
    /// calls together. Later answers are those of a new incarnation, even under the old registration.
    void record_process_end(const std::string& incarnation, time_point ended_at, time_point now);

    /// Returns when the process of an endpoint was last known to have ended, or to be down, if that was after `since`
    /// and not long ago.
    std::optional<time_point> down_since(const std::string& incarnation, time_point since) const;

    /// Records that a new incarnation has registered in place of this one, which had not been leaving.
    void record_endpoint_replaced(const std::string& incarnation, time_point now);

    /// Records that an endpoint sent the first event of an answer. It says nothing of the request.
    void record_endpoint_alive(const std::string& incarnation, time_point now);

    /// Records an answer that has shown its request to be sound: it ended whole, or outlasted crash_onset_time. It
    /// clears crashes before its start only, since a part may have begun to crash endpoints meanwhile.
    void record_answer_start(const std::string& incarnation, const std::vector<std::string>& parts, time_point now,
                             std::optional<time_point> started_at = std::nullopt);

    /// Applies records, its own or relayed, and starts that another host reported. A known record is no news.
    void apply_peer_records(const std::vector<crash_record>& reported, time_point now);
    void apply_peer_starts(const std::vector<part_start>& reported, time_point now);

    /// Returns until when a request with these parts is refused, or nothing if it may be sent.
    std::optional<time_point> quarantined_until(const std::vector<std::string>& parts, time_point now) const;

    /// Returns the suspected parts whose quarantine is over and that no answer has cleared, if the request has
    /// everything in common with those that crashed. Such a request may be sent only as a trial.
    std::vector<std::string> suspected_parts(const std::vector<std::string>& parts, time_point now) const;

    /// Returns whether a request that was itself lost may be sent again: unconfirmed crashes count, too.
    bool may_retry(const std::vector<std::string>& parts, time_point now) const;

    /// Returns the highest tally among the parts, without crashes after which an answer with the part started.
    crash_tally tally(const std::vector<std::string>& parts) const;

    /// Returns the newest records of this host that were confirmed at `since` or later and are not refuted, those of
    /// requests with a prompt first.
    std::vector<crash_record> own_records(time_point since) const;

    /// Returns the starts seen by this host of parts that are in any record, if they became of interest at `since` or
    /// later.
    std::vector<part_start> own_starts(time_point since) const;

    /// Returns the records that this host passes on in its next complete report, besides its own ones: those that
    /// others have passed on too rarely, the longest ago first. Starts a new count of the others' copies.
    std::vector<crash_record> take_records_to_relay(time_point now);

    /// Returns the records that matter most to a host that knows none: those of quarantines first, then the newest.
    std::vector<crash_record> records_for_newcomer(time_point now) const;

    /// Drops what is too old; called several times a second.
    void expire(time_point now);

private:
    struct stored_record
    {
        crash_record record;
        bool is_own = false;
        time_point confirmed_at;
        /// How many copies with all that this host knows were heard since the last complete report.
        int copies_heard = 0;
        time_point relayed_at{};
    };

    struct known_start
    {
        /// Seen by this host.
        std::optional<time_point> own_at;
        /// Seen by any host.
        time_point last_at;
        /// When the start became of interest to other hosts.
        time_point news_at;
    };

    /// Where a part is found: in a record, or in one that is not confirmed.
    struct part_place
    {
        bool is_confirmed = true;
        std::size_t index = 0;

        bool operator==(const part_place&) const = default;
    };

    /// The crashes that speak against a part, in the order of time, and how many it takes.
    struct part_evidence
    {
        std::vector<const crash_record*> crashed;
        int needed = 0;

        bool operator==(const part_evidence&) const = default;
    };

    /// The verdict for the evidence last judged. Parts that came with the same crashes share it, which keeps long
    /// prompts cheap.
    struct last_verdict
    {
        part_evidence evidence;
        std::optional<part_quarantine> verdict;
    };

    /// A request's parts, in a set once it is needed.
    class asked_parts;

    const std::unordered_map<std::string, std::vector<part_place>>& places() const;
    void mark_ended(crash_record& record) const;
    void mark_ended_records(time_point now);
    void refute(crash_record& record) const;
    void forget_unconfirmed(time_point now);
    void store(stored_record added);
    stored_record* find_record(const crash_record& wanted);
    void clear_started_parts(crash_record& record) const;
    void clear_part(const std::string& part, time_point started_at);
    bool is_quarantined(const crash_record& record) const;
    std::vector<const crash_record*> records_with(const std::string& part, bool with_unconfirmed) const;
    part_evidence evidence_against(const std::string& part, bool with_unconfirmed) const;
    std::optional<part_quarantine> judge(const std::string& part, bool with_unconfirmed) const;
    const std::optional<part_quarantine>& judge(const std::string& part, bool with_unconfirmed,
                                                last_verdict& last) const;
    std::optional<time_point> refused_until(const std::vector<std::string>& parts, bool with_unconfirmed,
                                            time_point now) const;
    known_start* start_of(const std::string& part);
    void recall_starts(const std::vector<std::string>& parts, time_point now);
    void announce_quarantines(const std::vector<std::string>& parts, time_point now);
    void set_news(known_start& start, time_point now);

    std::vector<stored_record> records;
    /// Requests whose endpoints are not known to be down.
    std::vector<crash_record> unconfirmed;
    /// Where each part is found; empty until it is needed again after a record was added or dropped.
    mutable std::unordered_map<std::string, std::vector<part_place>> place_index;
    mutable bool is_index_current = false;
    /// When a start last became of interest to other hosts.
    time_point last_start_news_at{};
    std::map<std::string, known_start> starts;
    /// Answered requests by fingerprint; `starts` has only those fingerprints that are in a record.
    recent_starts answered_requests;
    /// When endpoints were last seen down, and when they last started an answer, by incarnation.
    std::map<std::string, time_point> down_at;
    /// When incarnations were replaced by new ones, and when a process of theirs was last seen to have ended.
    std::map<std::string, time_point> replaced_at;
    std::map<std::string, time_point> process_ended_at;
    std::map<std::string, time_point> alive_at;
    /// Quarantines that were passed to on_quarantine and have not ended, by part.
    std::map<std::string, part_quarantine> announced;
};

} // namespace radishstep::forward
