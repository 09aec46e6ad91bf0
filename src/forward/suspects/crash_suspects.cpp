#include "forward/suspects/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>
#include <tuple>
#include <unordered_set>
#include <utility>

#include "forward/suspects/request_fingerprint.h"

namespace radishstep::forward {

namespace {

bool has_prompt_parts(const crash_record& record)
{
    return !std::ranges::all_of(record.parts, is_request_fingerprint);
}

/// Returns whether an answer to a prompt with the part started after the crash.
bool is_cleared(const crash_record& record, const std::string& part)
{
    return record.cleared.contains(part);
}

/// Adds what a copy of the record knows to it; returns whether the copy has all that is known here. A copy becomes
/// younger on its way, never older.
bool merge_copy(crash_record& record, const crash_record& copy)
{
    record.crashed_at = std::min(record.crashed_at, copy.crashed_at);
    record.cleared.insert(copy.cleared.begin(), copy.cleared.end());
    if (!record.ran_for)
        record.ran_for = copy.ran_for;
    record.is_refuted = record.is_refuted || copy.is_refuted;
    record.has_ended = record.has_ended || copy.has_ended;
    return record.cleared == copy.cleared && record.is_refuted == copy.is_refuted && record.has_ended == copy.has_ended;
}

/// Returns whether two crashes, `earlier` first, may be one failure of several endpoints. A request that was sent to
/// its endpoint after the earlier crash and was lost there, too, shows that they are not.
bool may_be_one_failure(time_point earlier, const crash_record& later)
{
    const bool was_sent_later = later.ran_for && earlier <= later.crashed_at - *later.ran_for;
    return !was_sent_later && later.crashed_at < earlier + crash_suspects::min_crash_interval;
}

/// Returns the number of separate crashes at different endpoints; `records` are in the order of time.
int count_crashes(const std::vector<const crash_record*>& records)
{
    std::set<std::string> counted;
    std::optional<time_point> last_counted_at;
    for (const crash_record* record : records) {
        if (last_counted_at && may_be_one_failure(*last_counted_at, *record))
            continue;
        if (!counted.insert(record->incarnation).second)
            continue;
        last_counted_at = record->crashed_at;
    }
    return static_cast<int>(counted.size());
}

std::vector<std::string> shared_parts(const std::vector<std::string>& parts, const std::vector<std::string>& others)
{
    const std::unordered_set<std::string_view> known(others.begin(), others.end());
    std::vector<std::string> shared;
    std::ranges::copy_if(parts, std::back_inserter(shared),
                         [&known](const std::string& part) { return known.contains(part); });
    return shared;
}

/// Returns the most parts that one request of each crash has in common. The other requests at a crashed endpoint were
/// most likely lost by chance.
std::vector<std::string> common_parts(const std::vector<const crash_record*>& records)
{
    std::map<std::string, std::vector<const crash_record*>> by_crash;
    for (const crash_record* record : records)
        by_crash[record->incarnation].push_back(record);
    std::vector<std::string> most;
    for (const crash_record* first : by_crash.begin()->second) {
        std::vector<std::string> common = first->parts;
        for (const auto& [incarnation, lost] : by_crash) {
            std::vector<std::string> best;
            for (const crash_record* record : lost) {
                std::vector<std::string> shared = shared_parts(common, record->parts);
                if (shared.size() > best.size())
                    best = std::move(shared);
            }
            common = std::move(best);
        }
        if (common.size() > most.size())
            most = std::move(common);
    }
    return most;
}

/// Drops unconfirmed records, first the oldest without a prompt, then the oldest, until one with so many parts fits.
void make_room(std::vector<crash_record>& unconfirmed, std::size_t added_parts)
{
    std::size_t total = added_parts;
    for (const crash_record& lost : unconfirmed)
        total += lost.parts.size();
    while (!unconfirmed.empty() &&
           (unconfirmed.size() >= crash_suspects::max_records || total > crash_suspects::max_recorded_parts)) {
        auto dropped = std::ranges::find_if_not(unconfirmed, has_prompt_parts);
        if (dropped == unconfirmed.end())
            dropped = unconfirmed.begin();
        total -= dropped->parts.size();
        unconfirmed.erase(dropped);
    }
}

bool had_started(const crash_record* record)
{
    return record->answered_for.has_value();
}

/// Keeps those requests of one crash whose answers had not started, and those whose answers had started last: the crash
/// follows the start of the answer that causes it.
void drop_most_started(std::vector<crash_record>& lost)
{
    std::ranges::stable_sort(lost, {}, &crash_record::answered_for);
    const auto first_started = std::ranges::find_if(lost, [](const crash_record& each) { return had_started(&each); });
    if (lost.end() - first_started > static_cast<std::ptrdiff_t>(crash_suspects::max_started_per_crash))
        lost.erase(first_started + crash_suspects::max_started_per_crash, lost.end());
}

std::chrono::seconds quarantine_length(const std::string& part, int further_crashes, bool has_started)
{
    if (further_crashes == 0 && (has_started || is_request_fingerprint(part)))
        return crash_suspects::first_request_quarantine;
    std::chrono::seconds length = crash_suspects::first_quarantine;
    for (int i = 0; i < further_crashes && length < crash_suspects::max_quarantine; ++i)
        length *= 2;
    return std::min(length, crash_suspects::max_quarantine);
}

} // namespace

class crash_suspects::asked_parts
{
public:
    explicit asked_parts(const std::vector<std::string>& parts) : parts(parts) {}

    bool contains_all(const std::vector<std::string>& wanted)
    {
        if (this->set.empty())
            this->set.insert(this->parts.begin(), this->parts.end());
        return std::ranges::all_of(wanted, [this](const std::string& part) { return this->set.contains(part); });
    }

private:
    const std::vector<std::string>& parts;
    std::unordered_set<std::string_view> set;
};

void crash_suspects::record_lost_request(const std::string& incarnation, const std::vector<std::string>& parts,
                                         time_point now, std::optional<std::chrono::microseconds> ran_for,
                                         std::optional<std::chrono::microseconds> answered_for)
{
    if (parts.empty())
        return;
    crash_record lost{incarnation, parts, now};
    lost.ran_for = ran_for;
    lost.answered_for = answered_for;
    if (lost.parts.size() > max_parts_per_record)
        lost.parts.resize(max_parts_per_record);
    this->recall_starts(lost.parts, now);
    make_room(this->unconfirmed, lost.parts.size());
    this->unconfirmed.push_back(std::move(lost));
    this->is_index_current = false;
    // The evidence may come first, from a host that the endpoint's end reached earlier.
    const auto known_down = this->down_at.find(incarnation);
    if (known_down != this->down_at.end() && now < known_down->second + confirmation_time)
        this->record_endpoint_down(incarnation, now);
}

void crash_suspects::record_endpoint_down(const std::string& incarnation, time_point now)
{
    this->down_at[incarnation] = now;
    std::vector<crash_record> confirmed;
    const auto dropped = std::erase_if(this->unconfirmed, [&](const crash_record& lost) {
        if (lost.incarnation != incarnation)
            return false;
        if (now < lost.crashed_at + confirmation_time)
            confirmed.push_back(lost);
        return true;
    });
    if (dropped > 0)
        this->is_index_current = false;
    drop_most_started(confirmed);
    for (const crash_record& record : confirmed) {
        this->store({record, true, now});
        // Answers since the crash weren't news before it was confirmed.
        for (const std::string& part : record.parts) {
            if (const auto start = this->starts.find(part); start != this->starts.end())
                this->set_news(start->second, now);
        }
        this->announce_quarantines(record.parts, now);
    }
    if (!confirmed.empty() && this->on_news)
        this->on_news();
}

void crash_suspects::record_endpoint_replaced(const std::string& incarnation, time_point now)
{
    this->replaced_at.insert_or_assign(incarnation, now);
    this->mark_ended_records(now);
    this->record_endpoint_down(incarnation, now);
}

void crash_suspects::record_process_end(const std::string& incarnation, time_point ended_at, time_point now)
{
    const auto known = this->process_ended_at.try_emplace(incarnation, ended_at).first;
    known->second = std::max(known->second, ended_at);
    this->mark_ended_records(now);
    this->record_endpoint_down(incarnation, now);
}

std::optional<time_point> crash_suspects::down_since(const std::string& incarnation, time_point since) const
{
    std::optional<time_point> latest;
    for (const auto* evidence : {&this->down_at, &this->process_ended_at, &this->replaced_at}) {
        const auto known = evidence->find(incarnation);
        if (known != evidence->end() && since < known->second)
            latest = std::max(latest.value_or(known->second), known->second);
    }
    return latest;
}

void crash_suspects::record_endpoint_alive(const std::string& incarnation, time_point now)
{
    this->alive_at[incarnation] = now;
    for (stored_record& stored : this->records) {
        if (stored.record.incarnation == incarnation && stored.record.crashed_at + refutation_time < now)
            this->refute(stored.record);
    }
}

void crash_suspects::record_answer_start(const std::string& incarnation, const std::vector<std::string>& parts,
                                         time_point now, std::optional<time_point> started_at)
{
    this->record_endpoint_alive(incarnation, now);
    const time_point start_time = started_at.value_or(now);
    bool is_news = false;
    for (const std::string& part : parts) {
        if (is_request_fingerprint(part)) {
            this->answered_requests.record(part, start_time);
            if (this->records_with(part, true).empty())
                continue;
        }
        known_start* start = this->start_of(part);
        if (start == nullptr)
            continue;
        const auto with_part = this->records_with(part, false);
        const bool is_later = with_part.empty() || with_part.back()->crashed_at <= start_time;
        if (!with_part.empty() && is_later && start->last_at <= with_part.back()->crashed_at) {
            this->set_news(*start, now);
            is_news = true;
        }
        start->own_at = std::max(start->own_at.value_or(start_time), start_time);
        start->last_at = std::max(start->last_at, start_time);
        this->clear_part(part, start_time);
    }
    if (is_news && this->on_news)
        this->on_news();
}

void crash_suspects::apply_peer_records(const std::vector<crash_record>& reported, time_point now)
{
    bool is_news = false;
    for (crash_record record : reported) {
        if (record.parts.empty() || record.parts.size() > max_parts_per_record ||
            record.crashed_at + record_lifetime < now)
            continue;
        if (stored_record* known = this->find_record(record)) {
            if (merge_copy(known->record, record))
                ++known->copies_heard;
            this->clear_started_parts(known->record);
            continue;
        }
        // A refuted record is kept, since hosts that have not seen the refutation go on passing the record on.
        const auto alive = this->alive_at.find(record.incarnation);
        if (alive != this->alive_at.end() && record.crashed_at + refutation_time < alive->second)
            record.is_refuted = true;
        this->mark_ended(record);
        this->recall_starts(record.parts, now);
        for (const std::string& part : record.parts) {
            const auto start = this->starts.find(part);
            if (!record.holds() || start == this->starts.end() || !start->second.own_at)
                continue;
            this->set_news(start->second, now);
            is_news = true;
        }
        const std::vector<std::string> parts = record.parts;
        this->store({std::move(record), false, now});
        this->announce_quarantines(parts, now);
    }
    if (is_news && this->on_news)
        this->on_news();
}

void crash_suspects::apply_peer_starts(const std::vector<part_start>& reported, time_point now)
{
    for (const part_start& each : reported) {
        if (each.started_at + record_lifetime < now)
            continue;
        if (known_start* start = this->start_of(each.part))
            start->last_at = std::max(start->last_at, each.started_at);
        this->clear_part(each.part, each.started_at);
    }
}

std::optional<time_point> crash_suspects::quarantined_until(const std::vector<std::string>& parts, time_point now) const
{
    return this->refused_until(parts, false, now);
}

std::vector<std::string> crash_suspects::suspected_parts(const std::vector<std::string>& parts, time_point now) const
{
    std::vector<std::string> suspected;
    if (this->records.empty())
        return suspected;
    asked_parts asked{parts};
    last_verdict last;
    for (const std::string& part : parts) {
        const auto& verdict = this->judge(part, false, last);
        if (verdict && verdict->until <= now && asked.contains_all(verdict->combination))
            suspected.push_back(part);
    }
    return suspected;
}

bool crash_suspects::may_retry(const std::vector<std::string>& parts, time_point now) const
{
    return !this->refused_until(parts, true, now);
}

crash_tally crash_suspects::tally(const std::vector<std::string>& parts) const
{
    crash_tally highest;
    if (this->records.empty())
        return highest;
    for (const std::string& part : parts) {
        auto crashed = this->records_with(part, false);
        std::erase_if(crashed, [&](const crash_record* record) { return is_cleared(*record, part); });
        std::set<std::string> endpoints;
        for (const crash_record* record : crashed)
            endpoints.insert(record->incarnation);
        highest = std::max(highest, {static_cast<int>(endpoints.size()), count_crashes(crashed)});
    }
    return highest;
}

std::vector<crash_record> crash_suspects::own_records(time_point since) const
{
    struct choice
    {
        const stored_record* stored;
        bool is_quarantined;
        /// Position among those of the same crash whose answers had started, or had not.
        std::size_t position;
    };
    std::vector<choice> choices;
    std::map<std::pair<std::string, bool>, std::size_t> counts;
    for (auto stored = this->records.rbegin(); stored != this->records.rend(); ++stored) {
        if (stored->is_own && stored->record.holds() && stored->confirmed_at >= since)
            choices.push_back({&*stored, this->is_quarantined(stored->record), 0});
    }
    // The most suspect come first of either kind, so that neither kind crowds out the other.
    std::ranges::stable_sort(choices, {}, [](const choice& each) { return each.stored->record.answered_for; });
    for (choice& each : choices)
        each.position = counts[{each.stored->record.incarnation, had_started(&each.stored->record)}]++;
    std::ranges::stable_sort(choices, {}, [](const choice& each) {
        return std::tuple{!each.is_quarantined, !has_prompt_parts(each.stored->record),
                          -each.stored->confirmed_at.time_since_epoch(), each.position};
    });
    choices.resize(std::min(choices.size(), max_reported_records), {});
    std::vector<crash_record> own;
    own.reserve(choices.size());
    for (const choice& each : choices)
        own.push_back(each.stored->record);
    return own;
}

std::vector<part_start> crash_suspects::own_starts(time_point since) const
{
    std::vector<part_start> own;
    if (this->last_start_news_at < since)
        return own;
    std::set<std::string> listed;
    for (auto stored = this->records.rbegin(); stored != this->records.rend(); ++stored) {
        if (!stored->record.holds())
            continue;
        for (const std::string& part : stored->record.parts) {
            const auto start = this->starts.find(part);
            if (start == this->starts.end() || !start->second.own_at || start->second.news_at < since ||
                own.size() >= max_reported_starts || !listed.insert(part).second)
                continue;
            own.push_back({part, *start->second.own_at});
        }
    }
    return own;
}

std::vector<crash_record> crash_suspects::take_records_to_relay(time_point now)
{
    std::vector<stored_record*> due;
    for (stored_record& stored : this->records) {
        const bool is_sent_as_own = stored.is_own && stored.record.holds();
        if (!is_sent_as_own && stored.copies_heard < sufficient_copies &&
            now <= stored.record.crashed_at + max_relayed_age)
            due.push_back(&stored);
        stored.copies_heard = 0;
    }
    std::ranges::stable_sort(due, {}, &stored_record::relayed_at);
    due.resize(std::min(due.size(), max_reported_records));
    std::vector<crash_record> relayed;
    relayed.reserve(due.size());
    for (stored_record* stored : due) {
        stored->relayed_at = now;
        relayed.push_back(stored->record);
    }
    return relayed;
}

std::vector<crash_record> crash_suspects::records_for_newcomer(time_point now) const
{
    std::vector<crash_record> chosen;
    for (const stored_record& stored : this->records) {
        if (now <= stored.record.crashed_at + max_relayed_age)
            chosen.push_back(stored.record);
    }
    std::ranges::sort(chosen, std::greater{}, [this](const crash_record& record) {
        return std::pair{this->is_quarantined(record), record.crashed_at};
    });
    chosen.resize(std::min(chosen.size(), max_reported_records));
    return chosen;
}

void crash_suspects::expire(time_point now)
{
    this->forget_unconfirmed(now);
    const auto dropped = std::erase_if(
        this->records, [now](const stored_record& stored) { return stored.record.crashed_at + record_lifetime < now; });
    if (dropped > 0)
        this->is_index_current = false;
    // A start clears its part as long as the records that it clears are there.
    std::erase_if(this->starts, [this, now](const auto& entry) {
        return entry.second.last_at + start_lifetime < now && this->records_with(entry.first, true).empty();
    });
    std::erase_if(this->down_at, [now](const auto& entry) { return entry.second + confirmation_time < now; });
    std::erase_if(this->replaced_at, [now](const auto& entry) { return entry.second + start_lifetime < now; });
    std::erase_if(this->process_ended_at, [now](const auto& entry) { return entry.second + confirmation_time < now; });
    std::erase_if(this->alive_at, [now](const auto& entry) { return entry.second + start_lifetime < now; });
    std::erase_if(this->announced, [this, now](const auto& entry) {
        const auto verdict = this->judge(entry.first, false);
        if (verdict && now < verdict->until)
            return false;
        if (this->on_release)
            this->on_release(entry.second);
        return true;
    });
}

void crash_suspects::refute(crash_record& record) const
{
    const bool was_counted = record.holds();
    record.is_refuted = true;
    if (was_counted && !record.holds() && this->on_refutation)
        this->on_refutation(record);
}

void crash_suspects::forget_unconfirmed(time_point now)
{
    const auto is_over = [now](const crash_record& lost) { return lost.crashed_at + confirmation_time < now; };
    for (const crash_record& lost : this->unconfirmed) {
        if (is_over(lost) && this->on_unconfirmed)
            this->on_unconfirmed(lost);
    }
    if (std::erase_if(this->unconfirmed, is_over) > 0)
        this->is_index_current = false;
}

/// Marks the record of an endpoint that ended soon after the crash; one that ends later was restarted for another
/// reason. An end long before the loss is that of an earlier process under the same registration.
void crash_suspects::mark_ended(crash_record& record) const
{
    const auto replaced = this->replaced_at.find(record.incarnation);
    if (replaced != this->replaced_at.end() && replaced->second < record.crashed_at + confirmation_time)
        record.has_ended = true;
    const auto ended = this->process_ended_at.find(record.incarnation);
    if (ended != this->process_ended_at.end() && ended->second < record.crashed_at + confirmation_time &&
        record.crashed_at <= ended->second + late_loss_margin)
        record.has_ended = true;
}

/// Marks the records whose endpoints have ended by what is known now, and announces what counts again.
void crash_suspects::mark_ended_records(time_point now)
{
    std::vector<std::vector<std::string>> restored;
    for (stored_record& stored : this->records) {
        const bool was_counted = stored.record.holds();
        this->mark_ended(stored.record);
        if (!was_counted && stored.record.holds())
            restored.push_back(stored.record.parts);
    }
    for (const std::vector<std::string>& parts : restored)
        this->announce_quarantines(parts, now);
}

void crash_suspects::store(stored_record added)
{
    this->mark_ended(added.record);
    this->clear_started_parts(added.record);
    if (stored_record* known = this->find_record(added.record)) {
        merge_copy(known->record, added.record);
        known->is_own = known->is_own || added.is_own;
        known->confirmed_at = added.confirmed_at;
        return;
    }
    std::size_t total = added.record.parts.size();
    for (const stored_record& stored : this->records)
        total += stored.record.parts.size();
    while (!this->records.empty() && (this->records.size() >= max_records || total > max_recorded_parts)) {
        // A crash of a plain endpoint takes many requests along; they do not displace prompts.
        const auto rank = [](const stored_record& stored) {
            return std::pair{has_prompt_parts(stored.record), stored.record.crashed_at};
        };
        const auto lowest = std::ranges::min_element(this->records, {}, rank);
        // Other hosts that still have it would bring back what was dropped.
        if (rank(added) <= rank(*lowest))
            return;
        total -= lowest->record.parts.size();
        this->records.erase(lowest);
        this->is_index_current = false;
    }
    this->records.push_back(std::move(added));
    this->is_index_current = false;
    if (this->on_record)
        this->on_record(this->records.back().record, this->tally(this->records.back().record.parts));
}

crash_suspects::stored_record* crash_suspects::find_record(const crash_record& wanted)
{
    const auto found = std::ranges::find_if(this->records, [&wanted](const stored_record& stored) {
        return stored.record.incarnation == wanted.incarnation && stored.record.parts == wanted.parts;
    });
    return found == this->records.end() ? nullptr : &*found;
}

void crash_suspects::clear_started_parts(crash_record& record) const
{
    for (const std::string& part : record.parts) {
        const auto start = this->starts.find(part);
        if (start != this->starts.end() && record.crashed_at <= start->second.last_at)
            record.cleared.insert(part);
    }
}

void crash_suspects::clear_part(const std::string& part, time_point started_at)
{
    const auto found = this->places().find(part);
    if (found == this->places().end())
        return;
    for (const part_place& place : found->second) {
        if (!place.is_confirmed)
            continue;
        crash_record& record = this->records[place.index].record;
        if (record.crashed_at <= started_at)
            record.cleared.insert(part);
    }
}

const std::unordered_map<std::string, std::vector<crash_suspects::part_place>>& crash_suspects::places() const
{
    if (std::exchange(this->is_index_current, true))
        return this->place_index;
    this->place_index.clear();
    // A record may name a part twice.
    const auto add = [this](const std::string& part, part_place place) {
        std::vector<part_place>& known = this->place_index[part];
        if (known.empty() || known.back() != place)
            known.push_back(place);
    };
    for (std::size_t i = 0; i < this->records.size(); ++i) {
        for (const std::string& part : this->records[i].record.parts)
            add(part, {true, i});
    }
    for (std::size_t i = 0; i < this->unconfirmed.size(); ++i) {
        for (const std::string& part : this->unconfirmed[i].parts)
            add(part, {false, i});
    }
    return this->place_index;
}

/// Returns whether the record is a reason of a quarantine that was announced.
bool crash_suspects::is_quarantined(const crash_record& record) const
{
    return record.holds() && std::ranges::any_of(record.parts, [&](const std::string& part) {
               return this->announced.contains(part) && !is_cleared(record, part);
           });
}

std::vector<const crash_record*> crash_suspects::records_with(const std::string& part, bool with_unconfirmed) const
{
    std::vector<const crash_record*> found;
    const auto known = this->places().find(part);
    if (known == this->places().end())
        return found;
    for (const part_place& place : known->second) {
        if (!place.is_confirmed && !with_unconfirmed)
            continue;
        const crash_record& record =
            place.is_confirmed ? this->records[place.index].record : this->unconfirmed[place.index];
        if (record.holds())
            found.push_back(&record);
    }
    std::ranges::stable_sort(found, {}, &crash_record::crashed_at);
    return found;
}

/// Returns the crashes since the last answer with the part.
crash_suspects::part_evidence crash_suspects::evidence_against(const std::string& part, bool with_unconfirmed) const
{
    auto crashed = this->records_with(part, with_unconfirmed);
    const auto start = this->starts.find(part);
    const bool is_start_known = start != this->starts.end();
    const auto is_over = [&](const crash_record* record) {
        return is_cleared(*record, part) || (is_start_known && record->crashed_at <= start->second.last_at);
    };
    const bool has_started =
        std::erase_if(crashed, is_over) > 0 || is_start_known || std::ranges::any_of(crashed, had_started);
    return {std::move(crashed), has_started ? crashes_to_quarantine_started_part : crashes_to_quarantine};
}

std::optional<part_quarantine> crash_suspects::judge(const std::string& part, bool with_unconfirmed) const
{
    last_verdict last;
    return this->judge(part, with_unconfirmed, last);
}

/// Returns the quarantine of a part, which may be over, or nothing if the part is not suspected enough.
const std::optional<part_quarantine>& crash_suspects::judge(const std::string& part, bool with_unconfirmed,
                                                            last_verdict& last) const
{
    part_evidence evidence = this->evidence_against(part, with_unconfirmed);
    const std::vector<const crash_record*>& crashed = evidence.crashed;
    if (evidence != last.evidence) {
        last.verdict.reset();
        const int crashes = count_crashes(crashed);
        if (!crashed.empty() && crashes >= evidence.needed) {
            last.verdict = part_quarantine{part, common_parts(crashed), crashes, {}, crashed.back()->seen_by};
            std::erase_if(last.verdict->combination, [&](const std::string& other) {
                const auto start = this->starts.find(other);
                return std::ranges::any_of(crashed,
                                           [&](const crash_record* record) { return is_cleared(*record, other); }) ||
                       (start != this->starts.end() && start->second.last_at > crashed.front()->crashed_at);
            });
        }
    }
    if (last.verdict) {
        last.verdict->part = part;
        last.verdict->until =
            crashed.back()->crashed_at +
            quarantine_length(part, last.verdict->crashes - evidence.needed, std::ranges::any_of(crashed, had_started));
    }
    last.evidence = std::move(evidence);
    return last.verdict;
}

std::optional<time_point> crash_suspects::refused_until(const std::vector<std::string>& parts, bool with_unconfirmed,
                                                        time_point now) const
{
    if (this->records.empty() && (!with_unconfirmed || this->unconfirmed.empty()))
        return std::nullopt;
    std::optional<time_point> until;
    asked_parts asked{parts};
    last_verdict last;
    for (const std::string& part : parts) {
        if (!this->places().contains(part))
            continue;
        const auto& verdict = this->judge(part, with_unconfirmed, last);
        if (verdict && now < verdict->until && until.value_or(now) < verdict->until &&
            asked.contains_all(verdict->combination))
            until = verdict->until;
    }
    return until;
}

/// Returns the entry of a part, or nothing if the part is new, in no record, and the table full.
crash_suspects::known_start* crash_suspects::start_of(const std::string& part)
{
    const auto known = this->starts.find(part);
    if (known != this->starts.end())
        return &known->second;
    if (this->starts.size() >= max_known_parts && !this->places().contains(part))
        return nullptr;
    return &this->starts[part];
}

void crash_suspects::set_news(known_start& start, time_point now)
{
    start.news_at = now;
    this->last_start_news_at = now;
}

/// Adds the starts of fingerprints that a new record names, so that they last as long as the record.
void crash_suspects::recall_starts(const std::vector<std::string>& parts, time_point now)
{
    for (const std::string& part : parts) {
        if (!is_request_fingerprint(part) || this->starts.contains(part))
            continue;
        const auto started_at = this->answered_requests.last_start(part);
        if (!started_at || *started_at + start_lifetime < now)
            continue;
        if (known_start* start = this->start_of(part)) {
            *start = {started_at, *started_at, *started_at};
            this->last_start_news_at = std::max(this->last_start_news_at, *started_at);
        }
    }
}

void crash_suspects::announce_quarantines(const std::vector<std::string>& parts, time_point now)
{
    last_verdict last;
    std::size_t found = 0;
    for (const std::string& part : parts) {
        const auto& judged = this->judge(part, false, last);
        if (!judged || judged->until <= now)
            continue;
        if (++found > max_announced_parts)
            return;
        part_quarantine verdict = *judged;
        verdict.combination.resize(std::min(verdict.combination.size(), max_announced_parts));
        const auto known = this->announced.find(part);
        if (known != this->announced.end() && known->second == verdict)
            continue;
        this->announced.insert_or_assign(part, verdict);
        if (this->on_quarantine)
            this->on_quarantine(verdict);
    }
}

} // namespace radishstep::forward
