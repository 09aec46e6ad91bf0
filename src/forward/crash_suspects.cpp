#include "forward/crash_suspects.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "forward/request_fingerprint.h"

namespace radishstep::forward {

namespace {

bool contains(const std::vector<std::string>& parts, const std::string& part)
{
    return std::ranges::find(parts, part) != parts.end();
}

bool contains_all(const std::vector<std::string>& parts, const std::vector<std::string>& wanted)
{
    return std::ranges::all_of(wanted, [&parts](const std::string& part) { return contains(parts, part); });
}

/// Returns the number of crashes at different endpoints and times; `records` are in the order of time.
int count_crashes(const std::vector<const crash_record*>& records)
{
    std::set<std::string> counted;
    std::optional<time_point> last_counted_at;
    for (const crash_record* record : records) {
        if (last_counted_at && record->crashed_at < *last_counted_at + crash_suspects::min_crash_interval)
            continue;
        if (!counted.insert(record->incarnation).second)
            continue;
        last_counted_at = record->crashed_at;
    }
    return static_cast<int>(counted.size());
}

std::vector<std::string> shared_parts(const std::vector<std::string>& parts, const std::vector<std::string>& others)
{
    std::vector<std::string> shared;
    std::ranges::copy_if(parts, std::back_inserter(shared),
                         [&others](const std::string& part) { return contains(others, part); });
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

std::chrono::seconds quarantine_length(const std::string& part, int further_crashes)
{
    if (further_crashes == 0 && is_request_fingerprint(part))
        return crash_suspects::first_request_quarantine;
    std::chrono::seconds length = crash_suspects::first_quarantine;
    for (int i = 0; i < further_crashes && length < crash_suspects::max_quarantine; ++i)
        length *= 2;
    return std::min(length, crash_suspects::max_quarantine);
}

} // namespace

void crash_suspects::record_lost_request(const std::string& incarnation, const std::vector<std::string>& parts,
                                         time_point now)
{
    if (parts.empty())
        return;
    crash_record lost{incarnation, parts, now};
    if (lost.parts.size() > max_parts_per_record)
        lost.parts.resize(max_parts_per_record);
    this->recall_starts(lost.parts, now);
    if (this->unconfirmed.size() >= max_records)
        this->unconfirmed.erase(this->unconfirmed.begin());
    this->unconfirmed.push_back(std::move(lost));
    // The evidence may come first, from a host that the endpoint's end reached earlier.
    const auto known_down = this->down_at.find(incarnation);
    if (known_down != this->down_at.end() && now < known_down->second + confirmation_time)
        this->record_endpoint_down(incarnation, now);
}

void crash_suspects::record_endpoint_down(const std::string& incarnation, time_point now)
{
    this->down_at[incarnation] = now;
    std::vector<crash_record> confirmed;
    std::erase_if(this->unconfirmed, [&](const crash_record& lost) {
        if (lost.incarnation != incarnation)
            return false;
        if (now < lost.crashed_at + confirmation_time)
            confirmed.push_back(lost);
        return true;
    });
    for (const crash_record& record : confirmed) {
        this->store({record, true, now});
        // Answers since the crash weren't news before it was confirmed.
        for (const std::string& part : record.parts) {
            if (const auto start = this->starts.find(part); start != this->starts.end())
                start->second.news_at = now;
        }
        this->announce_quarantines(record.parts, now);
    }
    if (!confirmed.empty() && this->on_news)
        this->on_news();
}

void crash_suspects::record_answer_start(const std::string& incarnation, const std::vector<std::string>& parts,
                                         time_point now)
{
    this->alive_at[incarnation] = now;
    std::erase_if(this->records, [&](const stored_record& stored) {
        return stored.record.incarnation == incarnation && stored.record.crashed_at + refutation_time < now;
    });
    bool is_news = false;
    for (const std::string& part : parts) {
        if (is_request_fingerprint(part)) {
            this->answered_requests.record(part, now);
            if (this->records_with(part, true).empty())
                continue;
        }
        known_start* start = this->start_of(part);
        if (start == nullptr)
            continue;
        const auto with_part = this->records_with(part, false);
        if (!with_part.empty() && start->last_at <= with_part.back()->crashed_at) {
            start->news_at = now;
            is_news = true;
        }
        start->own_at = now;
        start->last_at = now;
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
        const auto alive = this->alive_at.find(record.incarnation);
        if (alive != this->alive_at.end() && record.crashed_at + refutation_time < alive->second)
            continue;
        const bool is_known = std::ranges::any_of(this->records, [&record](const stored_record& stored) {
            return stored.record.incarnation == record.incarnation && stored.record.parts == record.parts;
        });
        if (is_known)
            continue;
        this->recall_starts(record.parts, now);
        for (const std::string& part : record.parts) {
            const auto start = this->starts.find(part);
            if (start == this->starts.end() || !start->second.own_at)
                continue;
            start->second.news_at = now;
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
    }
}

std::optional<time_point> crash_suspects::quarantined_until(const std::vector<std::string>& parts, time_point now) const
{
    return this->refused_until(parts, false, now);
}

bool crash_suspects::may_retry(const std::vector<std::string>& parts, time_point now) const
{
    return !this->refused_until(parts, true, now);
}

std::vector<crash_record> crash_suspects::own_records(time_point since) const
{
    std::vector<crash_record> own;
    for (auto stored = this->records.rbegin(); stored != this->records.rend(); ++stored) {
        if (stored->is_own && stored->confirmed_at >= since && own.size() < max_reported_records)
            own.push_back(stored->record);
    }
    return own;
}

std::vector<part_start> crash_suspects::own_starts(time_point since) const
{
    std::vector<part_start> own;
    std::set<std::string> listed;
    for (auto stored = this->records.rbegin(); stored != this->records.rend(); ++stored) {
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

void crash_suspects::expire(time_point now)
{
    std::erase_if(this->unconfirmed,
                  [now](const crash_record& lost) { return lost.crashed_at + confirmation_time < now; });
    std::erase_if(this->records,
                  [now](const stored_record& stored) { return stored.record.crashed_at + record_lifetime < now; });
    // A start clears its part as long as the records that it clears are there.
    std::erase_if(this->starts, [this, now](const auto& entry) {
        return entry.second.last_at + start_lifetime < now && this->records_with(entry.first, true).empty();
    });
    std::erase_if(this->down_at, [now](const auto& entry) { return entry.second + confirmation_time < now; });
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

void crash_suspects::store(stored_record added)
{
    if (this->records.size() >= max_records)
        this->records.erase(std::ranges::min_element(
            this->records, {}, [](const stored_record& stored) { return stored.record.crashed_at; }));
    this->records.push_back(std::move(added));
}

std::vector<const crash_record*> crash_suspects::records_with(const std::string& part, bool with_unconfirmed) const
{
    std::vector<const crash_record*> found;
    for (const stored_record& stored : this->records) {
        if (contains(stored.record.parts, part))
            found.push_back(&stored.record);
    }
    if (with_unconfirmed) {
        for (const crash_record& lost : this->unconfirmed) {
            if (contains(lost.parts, part))
                found.push_back(&lost);
        }
    }
    std::ranges::stable_sort(found, {}, &crash_record::crashed_at);
    return found;
}

/// Returns the quarantine of a part, which may be over, or nothing if the part is not suspected enough.
std::optional<part_quarantine> crash_suspects::judge(const std::string& part, bool with_unconfirmed) const
{
    auto crashed = this->records_with(part, with_unconfirmed);
    const auto start = this->starts.find(part);
    const bool has_started = start != this->starts.end();
    if (has_started)
        std::erase_if(crashed, [&](const crash_record* record) { return record->crashed_at <= start->second.last_at; });
    if (crashed.empty())
        return std::nullopt;
    const int needed = has_started ? crashes_to_quarantine_started_part : crashes_to_quarantine;
    const int crashes = count_crashes(crashed);
    if (crashes < needed)
        return std::nullopt;
    part_quarantine verdict{part, common_parts(crashed), crashes,
                            crashed.back()->crashed_at + quarantine_length(part, crashes - needed),
                            crashed.back()->seen_by};
    std::erase_if(verdict.combination, [&](const std::string& other) {
        const auto other_start = this->starts.find(other);
        return other_start != this->starts.end() && other_start->second.last_at > crashed.front()->crashed_at;
    });
    return verdict;
}

std::optional<time_point> crash_suspects::refused_until(const std::vector<std::string>& parts, bool with_unconfirmed,
                                                        time_point now) const
{
    if (this->records.empty() && (!with_unconfirmed || this->unconfirmed.empty()))
        return std::nullopt;
    std::optional<time_point> until;
    for (const std::string& part : parts) {
        const auto verdict = this->judge(part, with_unconfirmed);
        if (verdict && now < verdict->until && contains_all(parts, verdict->combination))
            until = std::max(until.value_or(verdict->until), verdict->until);
    }
    return until;
}

/// Returns the entry of a part, or nothing if the part is new and the table full.
crash_suspects::known_start* crash_suspects::start_of(const std::string& part)
{
    const auto known = this->starts.find(part);
    if (known != this->starts.end())
        return &known->second;
    if (this->starts.size() >= max_known_parts)
        return nullptr;
    return &this->starts[part];
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
        if (known_start* start = this->start_of(part))
            *start = {started_at, *started_at, *started_at};
    }
}

void crash_suspects::announce_quarantines(const std::vector<std::string>& parts, time_point now)
{
    for (const std::string& part : parts) {
        const auto verdict = this->judge(part, false);
        if (!verdict || verdict->until <= now)
            continue;
        const auto known = this->announced.find(part);
        if (known != this->announced.end() && known->second == *verdict)
            continue;
        this->announced.insert_or_assign(part, *verdict);
        if (this->on_quarantine)
            this->on_quarantine(*verdict);
    }
}

} // namespace radishstep::forward
