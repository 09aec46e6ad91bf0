#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "config/site_config.h"
#include "routing/permit.h"
#include "routing/token_time_estimate.h"

namespace radishstep {

/// How requests are assigned to endpoints: `cell` by the broker that owns the cell, the others by each entry process
/// with the named algorithm.
enum class admission_policy { cell, round_robin, least_reported, power_of_two };

/// Returns the policy's name in settings.
std::string_view to_string(admission_policy policy);

/// Returns the policy with this name in settings, or `cell` for an unknown name.
admission_policy admission_policy_from_name(std::string_view name);

/// Admission control for one pool with the knowledge of a single entry process: its own open requests and delayed
/// load reports of the endpoints. Used to compare admission policies: it refuses requests as early as a cell does, by
/// its own estimate, so that a comparison shows only the effect of the information and the selection algorithm.
class local_admission
{
public:
    local_admission(admission_policy policy, std::uint64_t seed);

    /// Applies the endpoints of a new configuration.
    void configure(const pool_config& pool);

    /// Sets how many entry processes assign requests to these endpoints, this one included.
    void set_entry_process_count(std::size_t count);

    /// Returns the grant or the refusal of a request.
    cell_decision decide(const permit_request& request, time_point now);

    /// Releases the endpoints of a request.
    void release(const permit_key& key);

    /// Releases the prefill endpoint of a request.
    void on_prefill_done(const permit_key& key, runtime_clock::duration prefill_time, time_point now);

    /// Records the load that an endpoint reported, in the endpoint's own unit; only compared between endpoints.
    void record_reported_load(const std::string& endpoint, int load);

private:
    struct endpoint_state
    {
        endpoint_state(endpoint_config config, token_time_estimate token_estimate)
            : config(std::move(config)), token_estimate(token_estimate)
        {
        }

        endpoint_config config;
        token_time_estimate token_estimate;
        int local_open_requests = 0;
        int local_open_prompt_tokens = 0;
        int reported_load = 0;
    };
    struct open_request
    {
        std::string prefill;
        std::string decode;
        int prompt_tokens = 0;
        bool is_prefilling = true;
    };
    using chooser = std::function<endpoint_state*(const std::vector<endpoint_state*>&)>;

    chooser make_chooser(admission_policy policy);
    std::vector<endpoint_state*> candidates(endpoint_role role, const permit_request& request);
    endpoint_state* less_loaded(endpoint_state* left, endpoint_state* right) const;
    void end_prefill(open_request& done);

    std::mt19937_64 random;
    chooser choose_endpoint;
    std::map<std::string, endpoint_state> endpoint_states;
    std::map<permit_key, open_request> open_requests;
    std::size_t entry_process_count = 1;
    std::size_t next_index = 0;
};

} // namespace radishstep
