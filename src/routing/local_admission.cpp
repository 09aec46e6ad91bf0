#include "routing/local_admission.h"

#include <algorithm>
#include <array>
#include <utility>

namespace radishstep {

namespace {

constexpr std::chrono::microseconds usual_prefill_token{100};

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
    : random(seed), choose(this->make_chooser(policy)), next(seed)
{
}

void local_admission::configure(const pool_config& pool)
{
    std::map<std::string, endpoint_state> kept;
    for (const endpoint_config& config : pool.endpoints) {
        const auto known = this->states.find(config.name);
        if (known != this->states.end())
            kept.insert(std::move(*known));
        else
            kept.try_emplace(config.name, config, token_time_estimate{usual_prefill_token});
    }
    this->states = std::move(kept);
}

void local_admission::set_entry_process_count(std::size_t count)
{
    this->deciders = std::max<std::size_t>(count, 1);
}

cell_decision local_admission::ask(const permit_request& wish, time_point now)
{
    endpoint_state* const prefill = this->choose(this->candidates(endpoint_role::prefill, wish));
    endpoint_state* const decode = this->choose(this->candidates(endpoint_role::decode, wish));
    if (prefill == nullptr || decode == nullptr)
        return permit_refusal{wish.key, wish.holder, error_kind::no_endpoint, std::chrono::seconds{1}};
    // The other entry processes are taken to have as much open at the endpoint as this one.
    const auto tokens_ahead =
        static_cast<std::int64_t>(prefill->open_tokens) * static_cast<std::int64_t>(this->deciders);
    const auto first_token = prefill->pace.expected(now) * (tokens_ahead + wish.prompt_tokens);
    const auto patience_left = wish.patience - wish.waited;
    if (first_token > patience_left)
        return permit_refusal{wish.key, wish.holder, error_kind::overloaded, first_token - patience_left};
    ++prefill->own_open;
    prefill->open_tokens += wish.prompt_tokens;
    ++decode->own_open;
    this->open[wish.key] = {prefill->config.name, decode->config.name, wish.prompt_tokens, true};
    return permit_grant{wish.key, wish.holder, prefill->config.name, decode->config.name};
}

void local_admission::release(const permit_key& key)
{
    const auto found = this->open.find(key);
    if (found == this->open.end())
        return;
    this->end_reading(found->second);
    const auto decode = this->states.find(found->second.decode);
    if (decode != this->states.end())
        --decode->second.own_open;
    this->open.erase(found);
}

void local_admission::prefill_done(const permit_key& key, runtime_clock::duration prefill_time, time_point now)
{
    const auto found = this->open.find(key);
    if (found == this->open.end())
        return;
    const auto prefill = this->states.find(found->second.prefill);
    if (prefill != this->states.end() && found->second.prompt_tokens > 0) {
        // The time includes the wait behind the requests that were open before this one.
        const int tokens = std::max(prefill->second.open_tokens, found->second.prompt_tokens);
        prefill->second.pace.observe(prefill_time / tokens, now);
    }
    this->end_reading(found->second);
}

void local_admission::record_reported_load(const std::string& endpoint, int load)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end())
        found->second.reported = load;
}

local_admission::chooser local_admission::make_chooser(admission_policy policy)
{
    if (policy == admission_policy::round_robin) {
        return [this](const std::vector<endpoint_state*>& all) {
            return all.empty() ? nullptr : all[this->next++ % all.size()];
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
                if (other->reported < least->reported)
                    least = other;
            }
            return least;
        };
    }
    return [this](const std::vector<endpoint_state*>& all) -> endpoint_state* {
        if (all.empty())
            return nullptr;
        return this->better(all[this->random() % all.size()], all[this->random() % all.size()]);
    };
}

std::vector<local_admission::endpoint_state*> local_admission::candidates(endpoint_role role, const permit_request& wish)
{
    std::vector<endpoint_state*> wanted;
    std::vector<endpoint_state*> all;
    for (auto& [name, state] : this->states) {
        if (state.config.role != role)
            continue;
        all.push_back(&state);
        if (!contains(wish.avoid, name))
            wanted.push_back(&state);
    }
    return wanted.empty() ? all : wanted;
}

local_admission::endpoint_state* local_admission::better(endpoint_state* left, endpoint_state* right) const
{
    return right->own_open < left->own_open ? right : left;
}

void local_admission::end_reading(open_request& done)
{
    if (!std::exchange(done.reads, false))
        return;
    const auto prefill = this->states.find(done.prefill);
    if (prefill == this->states.end())
        return;
    --prefill->second.own_open;
    prefill->second.open_tokens -= done.prompt_tokens;
}

} // namespace radishstep
