#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace radishstep::forward {

/// Passes an event stream on in whole events, so that a stream that breaks can go on elsewhere after
/// the last whole one. Events that the caller already has are left out.
class event_relay
{
public:
    /// Bytes without the end of an event that are kept before the stream counts as broken.
    static constexpr std::size_t max_event_bytes = 256UL * 1024;

    explicit event_relay(std::optional<std::int64_t> last_event_id) : last(last_event_id) {}

    /// Takes the next bytes of the endpoint; returns the whole events among them that are new.
    std::string push(std::string_view bytes);

    /// Begins the stream of another endpoint: an unfinished event is dropped.
    void discard_partial_event();

    /// Returns what came after the last whole event, for a stream that has ended properly.
    std::string take_remainder();

    /// Returns the number of the last whole event passed on, if there was one.
    std::optional<std::int64_t> last_event_id() const { return this->last; }

    /// Returns how many events were passed on.
    int events() const { return this->passed; }

    /// Returns true when an event was too long or an event is missing.
    bool is_broken() const { return this->broken; }

private:
    std::string pending;
    std::optional<std::int64_t> last;
    int passed = 0;
    bool broken = false;
};

} // namespace radishstep::forward
