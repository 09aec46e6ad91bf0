#include "forward/suspects/crash_trials.h"

#include <algorithm>
#include <utility>

namespace radishstep::forward {

void crash_trials::configure(std::string own_host, milliseconds settle)
{
    this->host = std::move(own_host);
    this->settle = settle;
}

std::optional<time_point> crash_trials::claimed_until(const std::vector<std::string>& parts, time_point now) const
{
    std::optional<time_point> latest;
    const auto extend = [&](time_point until) {
        if (now < until)
            latest = std::max(latest.value_or(until), until);
    };
    for (const std::string& part : parts) {
        if (const auto claimed = this->own.find(part); claimed != this->own.end())
            extend(claimed->second.until.value_or(now + claim_lifetime));
        if (const auto claimed = this->peers.find(part); claimed != this->peers.end())
            extend(claimed->second);
    }
    return latest;
}

bool crash_trials::claim(const std::vector<std::string>& parts, time_point now)
{
    if (this->claimed_until(parts, now))
        return false;
    for (const std::string& part : parts) {
        own_claim& added = this->own[part];
        added = {};
        added.news_at = now;
    }
    if (this->on_news)
        this->on_news();
    return true;
}

bool crash_trials::confirm(const std::vector<std::string>& parts)
{
    if (!std::ranges::all_of(parts, [this](const std::string& part) { return this->own.contains(part); }))
        return false;
    for (const std::string& part : parts)
        this->own[part].is_final = true;
    return true;
}

void crash_trials::end(const std::vector<std::string>& parts, bool is_lost, time_point now)
{
    for (const std::string& part : parts) {
        const auto claimed = this->own.find(part);
        if (claimed == this->own.end())
            continue;
        if (!is_lost) {
            this->own.erase(claimed);
            continue;
        }
        claimed->second.until = now + claim_lifetime;
        claimed->second.news_at = now;
    }
    if (is_lost && this->on_news)
        this->on_news();
}

std::vector<std::string> crash_trials::own_claims(time_point since) const
{
    std::vector<std::string> parts;
    for (const auto& [part, claimed] : this->own) {
        if (claimed.news_at >= since && parts.size() < max_reported_claims)
            parts.push_back(part);
    }
    return parts;
}

void crash_trials::apply_peer_claims(const std::string& peer, const std::vector<std::string>& parts, time_point now)
{
    for (const std::string& part : parts) {
        const auto claimed = this->own.find(part);
        if (claimed != this->own.end() && (claimed->second.is_final || this->host < peer))
            continue;
        if (claimed != this->own.end())
            this->own.erase(claimed);
        if (this->peers.contains(part) || this->peers.size() < max_peer_claims)
            this->peers.insert_or_assign(part, now + claim_lifetime);
    }
}

void crash_trials::expire(time_point now)
{
    std::erase_if(this->own, [now](const auto& entry) { return entry.second.until && *entry.second.until <= now; });
    std::erase_if(this->peers, [now](const auto& entry) { return entry.second <= now; });
}

} // namespace radishstep::forward
