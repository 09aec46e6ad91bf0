#include "routing/poison_list.h"

#include <algorithm>

namespace radishstep {

int poison_list::record_death(std::uint64_t fingerprint, time_point now)
{
    this->drop_expired(now);
    if (this->strikes.size() >= max_entries && !this->strikes.contains(fingerprint))
        return 1;
    entry& found = this->strikes[fingerprint];
    found.last_death_at = now;
    return ++found.deaths;
}

void poison_list::merge(const poison_strike& strike, time_point now)
{
    if (strike.deaths <= this->deaths(strike.fingerprint, now) || this->strikes.size() >= max_entries)
        return;
    this->strikes[strike.fingerprint] = {strike.deaths, now};
}

void poison_list::clear(std::uint64_t fingerprint)
{
    const auto found = this->strikes.find(fingerprint);
    if (found != this->strikes.end() && found->second.deaths < deaths_to_refuse)
        this->strikes.erase(found);
}

int poison_list::deaths(std::uint64_t fingerprint, time_point now) const
{
    const auto found = this->strikes.find(fingerprint);
    if (found == this->strikes.end() || found->second.last_death_at + entry_lifetime < now)
        return 0;
    return found->second.deaths;
}

std::vector<poison_strike> poison_list::entries(time_point now) const
{
    std::vector<poison_strike> all;
    for (const auto& [fingerprint, found] : this->strikes) {
        if (found.last_death_at + entry_lifetime >= now)
            all.push_back({fingerprint, found.deaths});
    }
    return all;
}

void poison_list::drop_expired(time_point now)
{
    std::erase_if(this->strikes, [now](const auto& item) { return item.second.last_death_at + entry_lifetime < now; });
}

} // namespace radishstep
