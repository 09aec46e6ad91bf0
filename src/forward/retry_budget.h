#pragma once

#include <deque>
#include <map>
#include <string>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// How much may be sent beyond the first call of each request, over all hosts together.
struct retry_limits
{
    /// Extra calls for each request, over the window.
    double ratio = 0.2;
    milliseconds window{10'000};
    /// Extra calls that are allowed at any load.
    double slack = 10;

    bool operator==(const retry_limits&) const = default;
};

/// What one host did of a service's budget within the window.
struct budget_use
{
    int requests = 0;
    int extras = 0;

    bool operator==(const budget_use&) const = default;
};

/// What one host did of each service's budget.
using budget_table = std::map<std::string, budget_use>;

/// One host's part of the retry budget of each service. Its own share is safe when all hosts spend at once,
/// so it needs no message. What the others are known to have left of theirs may be borrowed.
class retry_budget
{
public:
    /// How long another host's word counts for what it has left; what it spent beyond its share counts for
    /// the whole window.
    static constexpr milliseconds word_time{1'500};
    /// Calls for each host that are never borrowed: all hosts may borrow before they hear of each other.
    static constexpr double kept_per_host = 1;

    /// Parts of a window's limit that are left unused: other hosts' windows and calls on their way
    /// do not line up with ours.
    static constexpr double safe_part = 0.9;

    /// Sets the limits of the fleet and how many hosts share them.
    void configure(retry_limits limits, std::size_t hosts);

    /// Counts a caller's request for the service.
    void count_request(const std::string& service, time_point now);

    /// Returns whether one more extra call may be sent, and counts it if so.
    bool take(const std::string& service, time_point now);

    /// Takes back the last extra call, which did not reach an endpoint.
    void give_back(const std::string& service);

    /// Takes another host's word; it replaces the host's older word on the same services.
    void take_word(const std::string& host, const budget_table& word, time_point now);

    /// Returns what this host did within the window.
    budget_table used(time_point now);

    /// Returns the extra calls that are left of this host's own share, which is smaller while others have
    /// borrowed.
    double left(const std::string& service, time_point now);

    /// Returns the extra calls that all hosts together have left, as far as this one knows.
    double left_in_fleet(const std::string& service, time_point now);

private:
    struct account
    {
        std::deque<time_point> requests;
        std::deque<time_point> extras;
    };

    struct host_word
    {
        budget_table use;
        time_point heard;
    };

    account& recent(const std::string& service, time_point now);
    double share_left(const budget_use& use) const;
    double own_share_left(const std::string& service, time_point now);

    retry_limits limits;
    std::size_t hosts = 1;
    std::map<std::string, account> accounts;
    std::map<std::string, host_word> words;
};

} // namespace radishstep::forward
