#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishstep::forward {

/// Splits an endpoint's event stream into complete events and drops those that the caller already has, so that
/// a stream that breaks can resume at another endpoint after the last complete event.
class event_relay
{
public:
    /// An incomplete event longer than this marks the stream as broken: some hundred times the usual event, and little
    /// enough that hundreds of such streams fit into a small host's memory.
    static constexpr std::size_t max_event_bytes = 64UL * 1024;

    explicit event_relay(std::optional<std::int64_t> last_event_id) : last_id(last_event_id) {}

    /// Appends bytes of the endpoint's stream; returns the complete new events up to the first that breaks it.
    std::string push(std::string_view bytes);

    /// Starts the stream of another endpoint: drops the incomplete event of the one before.
    void begin_run();

    /// Returns whether the stream of another endpoint can be joined: the last event has an id, or there was none.
    bool can_resume() const { return this->has_id_at_end; }

    /// Returns true if the bytes so far end inside an event.
    bool has_partial_event() const;

    /// Returns and clears the line ends after the last complete event, for a stream that ended normally.
    std::string take_remainder();

    /// Returns the id of the last event that the caller has: the newest id returned by push(), or else the id given to
    /// the constructor.
    std::optional<std::int64_t> last_event_id() const { return this->last_id; }

    /// Returns the number of events returned by push().
    int event_count() const { return this->relayed_events; }

    /// Returns true once an incomplete event has exceeded max_event_bytes, an event has had a line that is no field, or
    /// the stream of another endpoint has not followed the events before it.
    bool is_broken() const { return this->is_invalid; }

private:
    bool follows(const std::optional<std::int64_t>& id) const;

    std::string buffer;
    std::optional<std::int64_t> last_id;
    int relayed_events = 0;
    /// Set until an event of the current run has joined it to the events of the run before.
    bool is_joining = false;
    bool are_ids_consecutive = true;
    bool has_id_at_end = true;
    bool is_invalid = false;
};

} // namespace radishstep::forward
