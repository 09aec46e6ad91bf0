#pragma once

#include <optional>
#include <set>
#include <string>

#include <tl/expected.hpp>

#include "base/runtime_clock.h"
#include "forward/endpoint.h"
#include "forward/endpoint_directory.h"
#include "forward/endpoint_health.h"
#include "forward/fleet_load.h"

namespace radishstep::forward {

/// Endpoint incarnations that a request does not want again.
using excluded_endpoints = std::set<std::string>;

/// The two endpoints of a model request.
struct engine_choice
{
    /// Nothing when the decode engine is to read the prompt itself.
    std::optional<endpoint> prefill;
    endpoint decode;

    bool operator==(const engine_choice&) const = default;
};

/// What a model request needs of its engines.
struct model_demand
{
    std::string service;
    std::int64_t prompt_tokens = 0;
    /// Tokens that fit into an engine's memory.
    std::int64_t kv_capacity_tokens = 0;

    bool operator==(const model_demand&) const = default;

    /// Returns what the prompt takes of an engine's memory, which is given out in blocks.
    std::int64_t prompt_kv_tokens() const;
};

/// Bounds of a search for places.
struct selection_context
{
    const excluded_endpoints& avoided;
    /// Uniform in [0, 1).
    double draw = 0;
    /// The best places that requests of other hosts will take.
    std::size_t slots_reserved_for_peers = 0;
    /// The loads at other hosts are known within a fraction of a call's time.
    bool are_peer_loads_current = true;
};

/// Why no place was found.
enum class selection_failure { no_endpoint, full };

/// Chooses endpoints by load, observed health and zone. Holds no state of its own.
class endpoint_chooser
{
public:
    /// Prompt tokens that a prefill engine reads in a millisecond when nothing was observed yet; model
    /// engines of the present kind read 33.
    static constexpr double reading_speed = 30;
    /// A decode engine reads prompts at half the speed, between the tokens of other requests.
    static constexpr double own_reading_factor = 2.0;
    /// Extra time that reading at the decode engine has to save before it is preferred: it slows the
    /// streams that run there.
    static constexpr milliseconds own_reading_penalty{250};
    /// What a request costs a prefill engine before its prompt is read.
    static constexpr milliseconds reading_start{50};
    /// Tokens of an engine's memory that are kept free for answers to grow. Streams make about 270 tokens a
    /// second for about 3.6 s, so that n of them grow by 970 tokens between two ends, whatever n is; three
    /// such spans pass without an end once in twenty times.
    static constexpr std::int64_t growth_reserve = 2'900;

    endpoint_chooser(const endpoint_directory& directory, const fleet_load& load, const endpoint_health& health,
                     std::string zone);

    /// Calls beyond its slots that an endpoint is given, so that a slot that gets free is used at once.
    static constexpr std::int64_t calls_ahead = 1;
    /// Calls beyond its slots while the loads at other hosts are known too late to wait for a free slot:
    /// a good part of what endpoints queue themselves.
    static constexpr std::int64_t calls_ahead_unknown = 16;

    /// Returns the endpoint for a plain call, or why there is none.
    tl::expected<endpoint, selection_failure> choose_plain_endpoint(const std::string& service, const selection_context& search,
                                                  time_point now) const;

    /// Returns the engines for a model request, or why there are none.
    tl::expected<engine_choice, selection_failure> choose_engines(const model_demand& demand, const selection_context& search,
                                                      time_point now) const;

    /// Returns the decode engine for a prompt that an engine in `reader_zone` has read, or why there is none.
    tl::expected<engine_choice, selection_failure> choose_decode_engine(const model_demand& demand, const std::string& reader_zone,
                                                        const selection_context& search, time_point now) const;

    /// Returns whether the work that all hosts have placed at a decode engine is more than it can hold.
    bool is_overbooked(const endpoint& at, const model_demand& demand, time_point now) const;

    /// Returns how long the prompt would wait and be read at a prefill engine.
    milliseconds prefill_time(const endpoint& at, std::int64_t prompt_tokens, time_point now) const;

private:
    std::vector<const endpoint*> candidates(const std::string& service, endpoint_phase phase,
                                            const excluded_endpoints& avoided, time_point now) const;
    double decoding_ms(const endpoint& at, const endpoint_load& there, time_point now) const;
    static std::size_t room_at(const endpoint& at, const endpoint_load& there, const model_demand& demand);

    struct option
    {
        double ms = 0;
        const endpoint* reader = nullptr;
        const endpoint* decoder = nullptr;
    };

    tl::expected<engine_choice, selection_failure> take_option(std::vector<option> options, std::size_t slots_reserved_for_peers) const;

    const endpoint_directory& directory;
    const fleet_load& load;
    const endpoint_health& health;
    std::string zone;
};

} // namespace radishstep::forward
