#pragma once

#include <optional>
#include <set>
#include <string>

#include <tl/expected.hpp>

#include "base/runtime_clock.h"
#include "forward/endpoints/endpoint.h"
#include "forward/endpoints/endpoint_directory.h"
#include "forward/endpoints/endpoint_health.h"
#include "forward/endpoints/endpoint_notices.h"
#include "forward/endpoints/engine_model.h"
#include "forward/fleet/fleet_load.h"

namespace radishstep::forward {

/// Endpoint incarnations that must not be selected for a request, such as those already tried.
using excluded_endpoints = std::set<std::string>;

/// The engines selected for a model request.
struct engine_choice
{
    /// Empty when the decode engine runs the prefill itself.
    std::optional<endpoint> prefill;
    endpoint decode;

    bool operator==(const engine_choice&) const = default;
};

/// Resources that a model request needs.
struct model_demand
{
    std::string service;
    std::int64_t prompt_tokens = 0;
    /// Length of the answer that the caller expects.
    std::int64_t expected_output_tokens = 0;
    /// Time until the request's deadline.
    milliseconds time_left = milliseconds::max();
    /// KV cache capacity of each engine of the service, in tokens.
    std::int64_t kv_capacity_tokens = 0;

    bool operator==(const model_demand&) const = default;

    /// Returns the KV cache size of the prompt in tokens, rounded up to whole blocks.
    std::int64_t prompt_kv_tokens() const;
};

/// Per-request input of an endpoint selection.
struct selection_context
{
    const excluded_endpoints& excluded;
    /// Random number, uniform in [0, 1).
    double draw = 0;
    /// Number of lowest-score slots to skip: requests ahead of this one, here or on other hosts, will use them.
    std::size_t reserved_slots = 0;
    /// Whether load reports of other hosts arrive within a fraction of a call's duration, see forward_context.
    bool are_peer_loads_current = true;
};

/// Why no endpoint was selected. `host_stopping`: an endpoint could not complete the request before this host stops.
/// `not_needed`: the request was no longer waiting for one. `paused`: the endpoints that could take the request asked
/// this host for a pause.
enum class selection_failure { no_endpoint, full, host_stopping, not_needed, paused };

/// Selects endpoints by load, observed health, their notices and zone. Keeps no state of its own.
class endpoint_chooser
{
public:
    /// Prefill throughput of a prefill engine to which learned paces refer, about 10 % below the 33 tokens per
    /// millisecond that current model engines reach.
    static constexpr double prefill_tokens_per_ms = 30;
    /// Prefill takes twice as long on a decode engine, because it interleaves it with decoding other requests.
    static constexpr double decode_engine_prefill_time_factor = 2.0;
    /// Time that prefill on the decode engine must save to be preferred, since it slows the streams that are
    /// decoded there.
    static constexpr milliseconds decode_engine_prefill_penalty{250};
    /// Fixed time per request on a prefill engine, in addition to the time per prompt token.
    static constexpr milliseconds prefill_overhead{50};
    /// KV cache tokens kept free for the growth of running answers. A stream generates about 270 tokens per
    /// second for about 3.6 s. Of n streams one ends every 3.6/n s, and in that time all n together grow by 970
    /// tokens, whatever n is. The reserve covers three such intervals; with a probability of 1 in 20 no stream ends
    /// in that time.
    static constexpr std::int64_t growth_reserve_tokens = 2'900;

    /// Weight of the time that the whole answer takes against that until its first token.
    static constexpr double decode_time_weight = 0.05;
    /// An engine on which an answer of this many times the expected length would not end by the deadline is selected
    /// only if there is no other: about one in ten answers is as long.
    static constexpr double long_answer_factor = 2.0;

    endpoint_chooser(const endpoint_directory& directory, const fleet_load& load, const endpoint_health& health,
                     const endpoint_notices& notices, const engine_model& model, std::string zone);

    /// Calls assigned to an endpoint beyond its slots, so that a freed slot is reused without delay.
    static constexpr std::int64_t max_queued_calls = 1;
    /// The same limit while load reports of other hosts arrive too late to tell which slots are free. Calls then wait
    /// in the endpoints' own queues, of which this limit is a large part.
    static constexpr std::int64_t max_queued_calls_with_stale_loads = 16;

    /// Returns the endpoint for a plain call, or why none was selected.
    tl::expected<endpoint, selection_failure>
    choose_plain_endpoint(const std::string& service, const selection_context& selection, time_point now) const;

    /// Returns the prefill and decode engines for a model request, or why none were selected.
    tl::expected<engine_choice, selection_failure>
    choose_engines(const model_demand& demand, const selection_context& selection, time_point now) const;

    /// Returns the decode engine for a prompt whose prefill ran on an engine in `prefill_zone`, or why none was
    /// selected.
    tl::expected<engine_choice, selection_failure> choose_decode_engine(const model_demand& demand,
                                                                        const std::string& prefill_zone,
                                                                        const selection_context& selection,
                                                                        time_point now) const;

    /// Returns the endpoints of a service that may be sent a call now.
    std::vector<const endpoint*> callable(const std::string& service, time_point now) const;

    /// Returns the earliest end of a pause if every endpoint that could serve a request of the service pauses. Prefill
    /// engines don't count, since decode engines can run the prefill.
    std::optional<time_point> earliest_pause_end(const std::string& service, time_point now) const;

    /// Returns whether the hosts together have assigned more work to a decode engine than its slots or KV cache
    /// allow.
    bool is_overbooked(const endpoint& target, const model_demand& demand, time_point now) const;

    /// Returns the expected time for a prompt on a prefill engine, including the wait behind pending prompts.
    milliseconds prefill_time(const endpoint& target, std::int64_t prompt_tokens, time_point now) const;

    /// Returns the same for an engine of pace 1.
    milliseconds assumed_prefill_time(const endpoint& target, std::int64_t prompt_tokens, time_point now) const;

private:
    std::vector<const endpoint*> candidates(const std::string& service, endpoint_phase phase,
                                            const excluded_endpoints& excluded, time_point now) const;
    /// Returns why there are no candidates.
    selection_failure no_candidate_cause(const std::string& service, endpoint_phase phase,
                                         const excluded_endpoints& excluded, time_point now) const;
    /// Returns the score of an engine for the decode phase.
    double decode_delay_ms(const endpoint& target, const endpoint_load& current, const model_demand& demand,
                           time_point now) const;
    /// Returns how many requests like `demand` fit on the engine in addition to its current load.
    std::size_t count_fitting_requests(const endpoint& target, const endpoint_load& current, const model_demand& demand,
                                       time_point now) const;

    struct option
    {
        /// Score: expected time until the first token and, weighted, of the answer, with penalties and jitter.
        double expected_ms = 0;
        const endpoint* prefill_engine = nullptr;
        const endpoint* decode_engine = nullptr;
    };

    tl::expected<engine_choice, selection_failure> select_option(std::vector<option> options,
                                                                 std::size_t reserved_slots) const;

    const endpoint_directory& directory;
    const fleet_load& load;
    const endpoint_health& health;
    const endpoint_notices& notices;
    const engine_model& model;
    std::string zone;
};

} // namespace radishstep::forward
