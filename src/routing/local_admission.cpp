#include "routing/local_admission.h"

#include <algorithm>
#include <array>
#include <utility>

namespace radishstep {

namespace {

constexpr std::chrono::microseconds default_prefill_token_time{100};

struct policy_name
{
    admission_policy policy;
    std::string_view name;
};

constexpr std::array policy_names{
    policy_name{admission_policy::cell, "cell"},
    policy_name{admission_policy::round_robin, "round_robin"},
    policy_name{admission_policy::least_reported, "least_reported"},
    policy_name{admission_policy::power_of_two, "power_of_two"},
};

} // namespace

std::string_view to_string(admission_policy policy)
{
    for (const policy_name& row : policy_names) {
        if (row.policy == policy)
            return row.name;
    }
    return policy_names.front().name;
}

admission_policy admission_policy_from_name(std::string_view name)
{
    for (const policy_name& row : policy_names) {
        if (row.name == name)
            return row.policy;
    }
    return admission_policy::cell;
}

local_admission::local_admission(admission_policy policy, std::uint64_t seed)
    : random(seed), choose_endpoint(this->make_chooser(policy)), next_index(seed)
{
}

void local_admission::configure(const pool_config& pool)
{
    std::map<std::string, endpoint_state> kept;
    for (const endpoint_config& config : pool.endpoints) {
        const auto known = this->endpoint_states.find(config.name);
        if (known != this->endpoint_states.end())
            kept.insert(std::move(*known));
        else
            kept.try_emplace(config.name, config, token_time_estimate{default_prefill_token_time});
    }
    this->endpoint_states = std::move(kept);
}

void local_admission::set_entry_process_count(std::size_t count)
{
    this->entry_process_count = std::max<std::size_t>(count, 1);
}

cell_decision local_admission::decide(const permit_request& request, time_point now)
{
    endpoint_state* const prefill = this->choose_endpoint(this->candidates(endpoint_role::prefill, request));
    endpoint_state* const decode = this->choose_endpoint(this->candidates(endpoint_role::decode, request));
    if (prefill == nullptr || decode == nullptr)
        return permit_refusal{request.key, request.holder, error_kind::no_endpoint, std::chrono::seconds{1}};
    // Assumes that every other entry process has as many open prompt tokens at the endpoint as this one.
    const auto prompt_tokens_ahead = static_cast<std::int64_t>(prefill->local_open_prompt_tokens) *
                                     static_cast<std::int64_t>(this->entry_process_count);
    const auto first_token_time = prefill->token_estimate.expected(now) * (prompt_tokens_ahead + request.prompt_tokens);
    const auto patience_left = request.patience - request.waited;
    if (first_token_time > patience_left)
        return permit_refusal{request.key, request.holder, error_kind::overloaded, first_token_time - patience_left};
    ++prefill->local_open_requests;
    prefill->local_open_prompt_tokens += request.prompt_tokens;
    ++decode->local_open_requests;
    this->open_requests[request.key] = {prefill->config.name, decode->config.name, request.prompt_tokens, true};
    return permit_grant{request.key, request.holder, prefill->config.name, decode->config.name};
}

void local_admission::release(const permit_key& key)
{
    const auto found = this->open_requests.find(key);
    if (found == this->open_requests.end())
        return;
    this->end_prefill(found->second);
    const auto decode = this->endpoint_states.find(found->second.decode);
    if (decode != this->endpoint_states.end())
        --decode->second.local_open_requests;
    this->open_requests.erase(found);
}

void local_admission::on_prefill_done(const permit_key& key, runtime_clock::duration prefill_time, time_point now)
{
    const auto found = this->open_requests.find(key);
    if (found == this->open_requests.end())
        return;
    const auto prefill = this->endpoint_states.find(found->second.prefill);
    if (prefill != this->endpoint_states.end() && found->second.prompt_tokens > 0) {
        // The prefill time includes waiting for requests that were already open at the endpoint.
        const int tokens = std::max(prefill->second.local_open_prompt_tokens, found->second.prompt_tokens);
        prefill->second.token_estimate.observe(prefill_time / tokens, now);
    }
    this->end_prefill(found->second);
}

void local_admission::record_reported_load(const std::string& endpoint, int load)
{
    const auto found = this->endpoint_states.find(endpoint);
    if (found != this->endpoint_states.end())
        found->second.reported_load = load;
}

local_admission::chooser local_admission::make_chooser(admission_policy policy)
{
    if (policy == admission_policy::round_robin) {
        return [this](const std::vector<endpoint_state*>& all) {
            return all.empty() ? nullptr : all[this->next_index++ % all.size()];
        };
    }
    if (policy == admission_policy::least_reported) {
        return [this](const std::vector<endpoint_state*>& all) -> endpoint_state* {
            if (all.empty())
                return nullptr;
            const std::size_t start = this->random() % all.size();
            endpoint_state* least = all[start];
            for (std::size_t i = 1; i < all.size(); ++i) {
                endpoint_state* const other = all[(start + i) % all.size()];
                if (other->reported_load < least->reported_load)
                    least = other;
            }
            return least;
        };
    }
    return [this](const std::vector<endpoint_state*>& all) -> endpoint_state* {
        if (all.empty())
            return nullptr;
        return this->less_loaded(all[this->random() % all.size()], all[this->random() % all.size()]);
    };
}

std::vector<local_admission::endpoint_state*> local_admission::candidates(endpoint_role role,
                                                                          const permit_request& request)
{
    std::vector<endpoint_state*> preferred;
    std::vector<endpoint_state*> all;
    for (auto& [name, state] : this->endpoint_states) {
        if (state.config.role != role)
            continue;
        all.push_back(&state);
        if (!contains(request.avoid, name))
            preferred.push_back(&state);
    }
    return preferred.empty() ? all : preferred;
}

local_admission::endpoint_state* local_admission::less_loaded(endpoint_state* left, endpoint_state* right) const
{
    return right->local_open_requests < left->local_open_requests ? right : left;
}

void local_admission::end_prefill(open_request& done)
{
    if (!std::exchange(done.is_prefilling, false))
        return;
    const auto prefill = this->endpoint_states.find(done.prefill);
    if (prefill == this->endpoint_states.end())
        return;
    --prefill->second.local_open_requests;
    prefill->second.local_open_prompt_tokens -= done.prompt_tokens;
}

} // namespace radishstep
