#include "forward/endpoints/endpoint_notices.h"

#include <algorithm>

namespace radishstep::forward {

namespace {

milliseconds ms_between(time_point start, time_point end)
{
    return std::chrono::duration_cast<milliseconds>(end - start);
}

bool is_registered(const endpoint_directory& directory, const std::string& incarnation)
{
    return std::ranges::any_of(directory.entries(),
                               [&](const auto& entry) { return entry.second.incarnation() == incarnation; });
}

} // namespace

std::vector<notice_change> endpoint_notices::record(const heard_answer& answer, const endpoint_notice& notice,
                                                    double draw)
{
    std::vector<notice_change> changes;
    if (notice.is_leaving) {
        if (auto change = this->record_leaving(answer))
            changes.push_back(std::move(*change));
    }
    if (notice.pause && *notice.pause > milliseconds{0}) {
        if (auto change = this->record_pause(answer, *notice.pause, draw))
            changes.push_back(std::move(*change));
    }
    return changes;
}

std::optional<notice_change> endpoint_notices::record_leaving(const heard_answer& answer)
{
    const leaving_record fresh{make_origin(answer), answer.received_at + leaving_retention};
    const auto [found, is_first] = this->leaving.try_emplace(answer.source.id, fresh);
    if (!is_first && answer.source.started_ms <= found->second.heard.started_ms) {
        update_last_heard(found->second.heard, answer);
        return std::nullopt;
    }
    found->second = fresh;
    return notice_change{notice_event::leaving_started, fresh.heard.incarnation, answer.call, milliseconds{0},
                         milliseconds{0}};
}

std::optional<notice_change> endpoint_notices::record_pause(const heard_answer& answer, milliseconds pause, double draw)
{
    const time_point now = answer.received_at;
    const milliseconds bounded = std::min(pause, endpoint_notice::max_pause);
    const milliseconds spread = std::clamp(bounded / pause_spread_divisor, min_pause_spread, max_pause_spread);
    const time_point ends_at = now + bounded + milliseconds{static_cast<milliseconds::rep>(to_ms(spread) * draw)};
    const pause_record fresh{make_origin(answer), ends_at, ends_at};
    const auto [found, is_first] = this->pauses.try_emplace(answer.source.id, fresh);
    pause_record& known = found->second;
    if (is_first || known.ends_at <= now || answer.source.started_ms > known.heard.started_ms) {
        known = fresh;
        return notice_change{notice_event::pause_started, known.heard.incarnation, answer.call, milliseconds{0},
                             ms_between(now, ends_at)};
    }
    update_last_heard(known.heard, answer);
    known.ends_at = std::max(known.ends_at, ends_at);
    if (known.ends_at < known.reported_end + min_logged_extension)
        return std::nullopt;
    known.reported_end = known.ends_at;
    return notice_change{notice_event::pause_extended, known.heard.incarnation, answer.call,
                         ms_between(known.heard.first_heard_at, now), ms_between(now, known.ends_at)};
}

std::vector<notice_change> endpoint_notices::forget_replaced(const endpoint& registered, time_point now)
{
    std::vector<notice_change> changes;
    const auto found = this->leaving.find(registered.id);
    if (found == this->leaving.end() || covers(found->second.heard, registered, now))
        return changes;
    const origin& heard = found->second.heard;
    changes.push_back({notice_event::leaving_ended, heard.incarnation, heard.source,
                       ms_between(heard.first_heard_at, now), milliseconds{0}});
    this->leaving.erase(found);
    return changes;
}

std::vector<notice_change> endpoint_notices::expire(const endpoint_directory& directory, time_point now)
{
    std::vector<notice_change> changes;
    const auto add_change = [&](notice_event event, const origin& heard) {
        changes.push_back(
            {event, heard.incarnation, heard.source, ms_between(heard.first_heard_at, now), milliseconds{0}});
    };
    std::erase_if(this->pauses, [&](const auto& entry) {
        if (now < entry.second.ends_at)
            return false;
        add_change(notice_event::pause_ended, entry.second.heard);
        return true;
    });
    for (auto entry = this->leaving.begin(); entry != this->leaving.end();) {
        leaving_record& record = entry->second;
        const bool is_due = now >= record.retained_until;
        if (is_due && !is_registered(directory, record.heard.incarnation)) {
            add_change(notice_event::leaving_ended, record.heard);
            entry = this->leaving.erase(entry);
            continue;
        }
        if (is_due)
            record.retained_until = now + leaving_retention;
        ++entry;
    }
    return changes;
}

bool endpoint_notices::is_leaving(const endpoint& target, time_point now) const
{
    const auto found = this->leaving.find(target.id);
    return found != this->leaving.end() && covers(found->second.heard, target, now);
}

std::optional<time_point> endpoint_notices::paused_until(const endpoint& target, time_point now) const
{
    const auto found = this->pauses.find(target.id);
    if (found == this->pauses.end() || found->second.ends_at <= now || !covers(found->second.heard, target, now))
        return std::nullopt;
    return found->second.ends_at;
}

bool endpoint_notices::accepts_calls(const endpoint& target, time_point now) const
{
    return !this->is_leaving(target, now) && !this->paused_until(target, now);
}

endpoint_notices::origin endpoint_notices::make_origin(const heard_answer& answer)
{
    return {answer.source.incarnation(), answer.source.started_ms, answer.call,
            answer.received_at,          answer.received_at,       answer.received_wall_ms};
}

void endpoint_notices::update_last_heard(origin& heard, const heard_answer& answer)
{
    heard.last_heard_at = answer.received_at;
    heard.last_heard_wall_ms = answer.received_wall_ms;
}

bool endpoint_notices::covers(const origin& heard, const endpoint& target, time_point now)
{
    if (target.started_ms <= heard.started_ms)
        return true;
    // An endpoint that started in the millisecond in which the answer came cannot have sent it.
    return target.started_ms < heard.last_heard_wall_ms && now < heard.last_heard_at + successor_doubt_time;
}

} // namespace radishstep::forward
