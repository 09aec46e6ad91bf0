#include "forward/endpoints/endpoint_directory.h"

#include <algorithm>
#include <utility>

namespace radishstep::forward {

void endpoint_directory::put(const std::string& entry_key, endpoint entry)
{
    this->missing_since.erase(entry_key);
    this->endpoints.insert_or_assign(entry_key, std::move(entry));
}

void endpoint_directory::remove(const std::string& entry_key)
{
    this->missing_since.erase(entry_key);
    this->endpoints.erase(entry_key);
}

void endpoint_directory::replace_all(std::map<std::string, endpoint> entries, time_point now)
{
    std::vector<std::string> missing_keys;
    for (const auto& [entry_key, entry] : this->endpoints) {
        if (!entries.contains(entry_key))
            missing_keys.push_back(entry_key);
    }
    for (auto& [entry_key, entry] : entries)
        this->put(entry_key, std::move(entry));
    const bool is_grace_period = this->is_in_grace_period(now);
    for (const std::string& entry_key : missing_keys) {
        if (is_grace_period)
            this->missing_since.try_emplace(entry_key, now);
        else
            this->remove(entry_key);
    }
}

void endpoint_directory::on_store_unavailable()
{
    this->is_store_unavailable = true;
}

void endpoint_directory::on_store_available(time_point since)
{
    this->is_store_unavailable = false;
    this->store_available_since = since;
}

std::vector<endpoint> endpoint_directory::remove_expired(time_point now)
{
    std::vector<endpoint> removed;
    if (this->missing_since.empty() || this->is_in_grace_period(now))
        return removed;
    for (const auto& [entry_key, since] : this->missing_since) {
        const auto found = this->endpoints.find(entry_key);
        if (found == this->endpoints.end())
            continue;
        removed.push_back(std::move(found->second));
        this->endpoints.erase(found);
    }
    this->missing_since.clear();
    return removed;
}

std::vector<const endpoint*> endpoint_directory::usable(const std::string& service) const
{
    std::vector<const endpoint*> found;
    for (const auto& [entry_key, entry] : this->endpoints) {
        if (entry.service == service && !entry.is_draining)
            found.push_back(&entry);
    }
    return found;
}

bool endpoint_directory::accepts_work(const endpoint& target) const
{
    return std::ranges::any_of(this->endpoints, [&target](const auto& entry) {
        return entry.second.incarnation() == target.incarnation() && !entry.second.is_draining;
    });
}

bool endpoint_directory::is_in_grace_period(time_point now) const
{
    return this->is_store_unavailable ||
           (this->store_available_since && now < *this->store_available_since + reregistration_grace);
}

} // namespace radishstep::forward
