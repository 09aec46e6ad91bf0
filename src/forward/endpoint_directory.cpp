#include "forward/endpoint_directory.h"

#include <algorithm>
#include <utility>

namespace radishstep::forward {

void endpoint_directory::put(const std::string& entry_key, endpoint entry)
{
    this->missing.erase(entry_key);
    this->known.insert_or_assign(entry_key, std::move(entry));
}

void endpoint_directory::remove(const std::string& entry_key)
{
    this->missing.erase(entry_key);
    this->known.erase(entry_key);
}

void endpoint_directory::replace_all(std::map<std::string, endpoint> entries, time_point now)
{
    std::vector<std::string> vanished;
    for (const auto& [entry_key, entry] : this->known) {
        if (!entries.contains(entry_key))
            vanished.push_back(entry_key);
    }
    for (auto& [entry_key, entry] : entries)
        this->put(entry_key, std::move(entry));
    const bool may_come_back = this->is_in_grace(now);
    for (const std::string& entry_key : vanished) {
        if (may_come_back)
            this->missing.try_emplace(entry_key, now);
        else
            this->remove(entry_key);
    }
}

void endpoint_directory::on_store_unavailable()
{
    this->is_source_away = true;
}

void endpoint_directory::on_store_available(time_point since)
{
    this->is_source_away = false;
    this->regained_at = since;
}

std::vector<endpoint> endpoint_directory::remove_expired(time_point now)
{
    std::vector<endpoint> dropped;
    if (this->missing.empty() || this->is_in_grace(now))
        return dropped;
    for (const auto& [entry_key, since] : this->missing) {
        const auto found = this->known.find(entry_key);
        if (found == this->known.end())
            continue;
        dropped.push_back(std::move(found->second));
        this->known.erase(found);
    }
    this->missing.clear();
    return dropped;
}

std::vector<const endpoint*> endpoint_directory::usable(const std::string& service) const
{
    std::vector<const endpoint*> found;
    for (const auto& [entry_key, entry] : this->known) {
        if (entry.service == service && !entry.is_draining)
            found.push_back(&entry);
    }
    return found;
}

bool endpoint_directory::accepts_work(const endpoint& at) const
{
    return std::ranges::any_of(this->known, [&at](const auto& entry) {
        return entry.second.incarnation() == at.incarnation() && !entry.second.is_draining;
    });
}

bool endpoint_directory::is_in_grace(time_point now) const
{
    return this->is_source_away || (this->regained_at && now < *this->regained_at + return_time);
}

} // namespace radishstep::forward
