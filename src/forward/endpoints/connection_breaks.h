#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// The calls of this host that are open at each endpoint, and those that broke off. A process that ends breaks all its
/// connections at once; a connection that breaks alone says nothing. Owns no sockets and reads no clock.
class connection_breaks
{
public:
    /// Calls that break off within this time broke together.
    static constexpr milliseconds break_window{100};
    /// Fewest calls whose break shows that their endpoint has ended.
    static constexpr std::size_t min_broken_calls = 2;
    /// One of them had been open for so long: an overloaded endpoint resets new connections.
    static constexpr milliseconds min_call_age{500};
    /// How long breaks are remembered.
    static constexpr milliseconds break_lifetime{2'000};

    /// Adds a call that was sent to an endpoint.
    void add(const std::string& incarnation, time_point sent_at);

    /// Removes a call that has ended in another way than by a break.
    void remove(const std::string& incarnation, time_point sent_at);

    /// Records that the connection of a call broke, and removes the call.
    void record_break(const std::string& incarnation, time_point sent_at, time_point now);

    /// Returns whether all calls that were open at the endpoint broke off together, lately, and none elsewhere: where
    /// calls to several endpoints break, the fault may be this host's.
    bool has_ended(const std::string& incarnation, time_point now) const;

private:
    struct broken_call
    {
        std::string incarnation;
        time_point sent_at;
        time_point broken_at;

        bool operator==(const broken_call&) const = default;
    };

    std::map<std::string, std::multiset<time_point>> open;
    /// In the order of their breaks.
    std::vector<broken_call> broken;
};

/// A call that is open at an endpoint, for connection_breaks, which must outlive it.
class open_call
{
public:
    open_call(connection_breaks& breaks, std::string incarnation, time_point sent_at);
    ~open_call();
    open_call(const open_call&) = delete;
    open_call& operator=(const open_call&) = delete;

    /// Records that the connection of the call broke.
    void break_off(time_point now);

private:
    connection_breaks& breaks;
    std::string incarnation;
    time_point sent_at;
    bool is_broken = false;
};

} // namespace radishstep::forward
