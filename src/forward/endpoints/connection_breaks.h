#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep::forward {

class open_call;

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
    /// A call from which nothing has come for so long is silent.
    static constexpr milliseconds silence_time{1'000};

    /// Returns whether all calls that were open at the endpoint broke off together, lately, and none elsewhere: where
    /// calls to several endpoints break, the fault may be this host's.
    bool has_ended(const std::string& incarnation, time_point now) const;

    /// Returns the open calls that are silent and have not been told that their endpoint has ended.
    std::vector<open_call*> silent_calls(time_point now) const;

private:
    friend class open_call;

    struct broken_call
    {
        std::string incarnation;
        time_point sent_at;
        time_point broken_at;

        bool operator==(const broken_call&) const = default;
    };

    void remove(open_call* call);
    void record_break(open_call* call, time_point now);

    std::map<std::string, std::set<open_call*>> open;
    /// In the order of their breaks.
    std::vector<broken_call> broken;
};

/// A call that is open at an endpoint, from its sending to its end. connection_breaks must outlive it.
class open_call
{
public:
    open_call(connection_breaks& breaks, std::string incarnation, time_point sent_at);
    ~open_call();
    open_call(const open_call&) = delete;
    open_call& operator=(const open_call&) = delete;

    /// Called at most once if the call is silent although its endpoint's process has ended, with the time at which that
    /// became known. The connection may stay open like this for good.
    std::function<void(time_point ended_at)> on_process_end;

    /// Records that a part of the answer has come.
    void record_bytes(time_point now) { this->last_heard_at = now; }

    /// Records that the connection of the call broke.
    void break_off(time_point now);

    /// Calls on_process_end.
    void tell_process_end(time_point ended_at);

    const std::string& endpoint_incarnation() const { return this->incarnation; }
    time_point sent_time() const { return this->sent_at; }

private:
    friend class connection_breaks;

    connection_breaks& breaks;
    std::string incarnation;
    time_point sent_at;
    time_point last_heard_at;
    bool is_broken = false;
    bool knows_process_end = false;
};

} // namespace radishstep::forward
