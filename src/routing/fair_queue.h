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

/// A permit request that waits for free endpoints.
struct queued_request
{
    permit_request request;
    time_point queued_at;
    time_point grant_deadline;
    runtime_clock::duration predicted_prefill_time{};

    bool operator==(const queued_request&) const = default;
};

/// Number and summed predicted prefill time of queued requests.
struct queue_backlog
{
    std::size_t count = 0;
    runtime_clock::duration total_prefill_time{};

    bool operator==(const queue_backlog&) const = default;
};

/// The queued permit requests of one cell, in weighted fair order: by priority (resumed, interactive, batch); within a
/// priority by the virtual time of the client, so that a burst of one client does not delay the others; and within a
/// client by the earliest grant deadline.
class fair_queue
{
public:
    /// Sets the weights of clients; a client that is not listed has weight 1.
    void set_weights(std::map<std::string, int> client_weights);

    /// Adds a request. Returns false when its key is already queued.
    bool add(queued_request entry);

    /// Removes a request. Returns false when it was not queued.
    bool remove(const permit_key& key);

    /// Removes all requests of one holder.
    void remove_holder(const std::string& holder);

    /// Removes and returns the requests whose grant deadline is at or before `now`.
    std::vector<queued_request> pop_expired(time_point now);

    /// Removes and returns the first request in fair order that `fits` accepts. Examines a bounded number of requests.
    std::optional<queued_request> pop_first_fitting(const std::function<bool(const queued_request&)>& fits);

    /// Returns the backlog that would be served before a new request of this client, by the clients' weights.
    queue_backlog backlog_ahead_of(const std::string& client, client_priority priority) const;

    /// Returns the number of queued requests.
    std::size_t size() const;

private:
    /// Number of values of client_priority.
    static constexpr std::size_t priority_count = 3;

    struct queue_key
    {
        client_priority priority;
        time_point grant_deadline;
        permit_key key;

        auto operator<=>(const queue_key&) const = default;
    };
    struct client_queue
    {
        std::map<queue_key, queued_request> entries;
        std::array<queue_backlog, priority_count> backlogs;
        double virtual_time = 0;
    };
    using schedule_entry = std::tuple<client_priority, double, std::string>;

    static schedule_entry schedule_entry_of(const std::string& client, const client_queue& queue);
    static queue_backlog backlog_up_to(const client_queue& queue, client_priority priority);
    double weight_of(const std::string& client) const;
    void erase(const std::string& client, const queue_key& position);

    std::map<std::string, int> weights;
    std::map<std::string, client_queue> client_queues;
    std::set<schedule_entry> schedule;
    std::set<std::pair<time_point, permit_key>> expiries;
    /// The client and the key in its queue, by permit key.
    std::map<permit_key, std::pair<std::string, queue_key>> positions;
    double virtual_now = 0;
};

} // namespace radishstep
