#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "config/site_config.h"
#include "routing/token_time_estimate.h"
#include "routing/permit.h"

namespace radishstep {

/// How requests are given to endpoints: by the cell's broker, or by each entry process on its own.
enum class admission_policy { cell, round_robin, least_reported, power_of_two };

/// Returns the policy's name in settings, and the policy of a name (cell for an unknown one).
std::string_view to_string(admission_policy policy);
admission_policy admission_policy_from_name(std::string_view name);

/// Decides for the endpoints of one pool with what one entry process knows: its own open requests and
/// the endpoints' late reports. It refuses as early as a cell does, by its own estimate, so that the
/// policies differ only in what they know and how they choose.
class local_admission
{
public:
    local_admission(admission_policy policy, std::uint64_t seed);

    /// Takes the endpoints of a new configuration.
    void configure(const pool_config& pool);

    /// Sets how many entry processes decide beside this one, itself counted.
    void set_entry_process_count(std::size_t count);

    /// Returns the grant or the refusal of a request.
    cell_decision ask(const permit_request& wish, time_point now);

    /// Frees what the request held.
    void release(const permit_key& key);

    /// Frees the prefill endpoint of a request.
    void prefill_done(const permit_key& key, runtime_clock::duration prefill_time, time_point now);

    /// Takes an endpoint's late report of its load.
    void record_reported_load(const std::string& endpoint, int load);

private:
    struct endpoint_state
    {
        endpoint_state(endpoint_config config, token_time_estimate pace) : config(std::move(config)), pace(pace) {}

        endpoint_config config;
        token_time_estimate pace;
        int own_open = 0;
        int open_tokens = 0;
        int reported = 0;
    };
    struct open_request
    {
        std::string prefill;
        std::string decode;
        int prompt_tokens = 0;
        bool reads = true;
    };
    using chooser = std::function<endpoint_state*(const std::vector<endpoint_state*>&)>;

    chooser make_chooser(admission_policy policy);
    std::vector<endpoint_state*> candidates(endpoint_role role, const permit_request& wish);
    endpoint_state* better(endpoint_state* left, endpoint_state* right) const;
    void end_reading(open_request& open);

    std::mt19937_64 random;
    chooser choose;
    std::map<std::string, endpoint_state> states;
    std::map<permit_key, open_request> open;
    std::size_t deciders = 1;
    std::size_t next = 0;
};

} // namespace radishstep
