#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "forward/endpoint.h"

namespace radishstep::forward {

/// The endpoints that may get work, as far as the key-value service has told. Entries that vanish while
/// the service is away are kept until living endpoints have had time to come back.
class endpoint_directory
{
public:
    /// How long after the service's return an entry may be missing before its endpoint counts as gone:
    /// the published two seconds for entries to come back, and a margin for the watch.
    static constexpr milliseconds return_time{2'300};

    /// Takes an entry; `entry_key` is where it stands in the key-value service.
    void put(const std::string& entry_key, endpoint entry);

    /// Takes the loss of an entry, as it was told: the endpoint is gone at once.
    void remove(const std::string& entry_key);

    /// Takes all entries that there are. Others are removed; after an outage, once they have had time to
    /// come back.
    void replace_all(std::map<std::string, endpoint> entries, time_point now);

    /// Tells that the key-value service does not answer.
    void on_store_unavailable();

    /// Tells that the key-value service answers again, and has done so since `since` at the latest.
    void on_store_available(time_point since);

    /// Drops entries whose grace is over; returns what was dropped.
    std::vector<endpoint> remove_expired(time_point now);

    /// Returns the endpoints of a service that take new work.
    std::vector<const endpoint*> usable(const std::string& service) const;

    /// Returns whether this incarnation is known and takes new work.
    bool accepts_work(const endpoint& at) const;

    /// Returns all entries by their keys.
    const std::map<std::string, endpoint>& entries() const { return this->known; }

private:
    bool is_in_grace(time_point now) const;

    std::map<std::string, endpoint> known;
    std::map<std::string, time_point> missing;
    bool is_source_away = false;
    std::optional<time_point> regained_at;
};

} // namespace radishstep::forward
