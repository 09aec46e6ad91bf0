#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "routing/permit.h"

namespace radishstep {

/// A permit request that waits for endpoints.
struct queued_request
{
    permit_request ask;
    time_point arrived;
    time_point give_up_at;
    runtime_clock::duration work{};

    bool operator==(const queued_request&) const = default;
};

/// What would be served before a new request.
struct queue_ahead
{
    std::size_t count = 0;
    runtime_clock::duration work{};

    bool operator==(const queue_ahead&) const = default;
};

/// The waiting permit requests of one cell. Clients take turns by weighted virtual time, so that one
/// client's surge does not delay the others; within a client the earliest deadline goes first.
/// Interactive requests go before batch ones.
class fair_queue
{
public:
    /// Sets the weights of clients; those not named weigh 1.
    void set_shares(std::map<std::string, int> next);

    /// Adds a request. Returns false when the same key waits already.
    bool add(queued_request entry);

    /// Removes a request. Returns false when it did not wait.
    bool remove(const permit_key& key);

    /// Removes all requests of one holder.
    void remove_holder(const std::string& holder);

    /// Removes and returns the requests that must give up by `now`.
    std::vector<queued_request> take_expired(time_point now);

    /// Removes and returns the first request, in turn, that `fits` accepts; looks at a bounded number.
    std::optional<queued_request> take_first(const std::function<bool(const queued_request&)>& fits);

    /// Returns what would be served before a new request of this client, the clients' shares considered.
    queue_ahead ahead_of(const std::string& client, client_priority priority) const;

    /// Returns the number of waiting requests.
    std::size_t size() const;

private:
    static constexpr std::size_t priorities = 3;

    struct place
    {
        client_priority priority;
        time_point give_up_at;
        permit_key key;

        auto operator<=>(const place&) const = default;
    };
    struct client_line
    {
        std::map<place, queued_request> entries;
        std::array<queue_ahead, priorities> totals;
        double virtual_time = 0;
    };
    using turn = std::tuple<client_priority, double, std::string>;

    static turn turn_of(const std::string& client, const client_line& line);
    static queue_ahead total_up_to(const client_line& line, client_priority priority);
    double share_of(const std::string& client) const;
    void erase(const std::string& client, const place& at);

    std::map<std::string, int> shares;
    std::map<std::string, client_line> lines;
    std::set<turn> turns;
    std::set<std::pair<time_point, permit_key>> expiries;
    std::map<permit_key, std::pair<std::string, place>> places;
    double virtual_now = 0;
};

} // namespace radishstep
