#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <iostream>
#include <set>
#include <sstream>

#include "keyvalue/claim_store.h"
#include "routing/request_machine.h"

namespace {

using namespace radishstep;
namespace event = request_event;
namespace effect = request_effect;

using step_function =
    std::function<std::pair<request_state, request_effects>(request_state, const request_event::any&)>;

constexpr int answer_tokens = 2;

/// Records the effects of one request: active endpoint jobs, open permits, and what the caller received. Checks the
/// invariants on each effect and keeps the first violation.
struct request_observer
{
    std::set<std::pair<int, std::string>> active_jobs;
    std::set<int> open_permits;
    int relayed_tokens = 0;
    int end_count = 0;
    int endpoint_may_have_run = 0;
    std::string violation;

    void apply(const request_effects& effects)
    {
        for (const effect::any& any : effects)
            std::visit([this](const auto& content) { this->on_effect(content); }, any);
    }

    void on_effect(const effect::request_permit& request) { this->open_permits.insert(request.attempt); }
    void on_effect(const effect::release_permit& done) { this->open_permits.erase(done.attempt); }
    void on_effect(const effect::report_prefilled& /*done*/) {}
    void on_effect(const effect::start_prefill& start) { this->add_job(start.attempt, start.endpoint); }
    void on_effect(const effect::start_decode& start) { this->add_job(start.attempt, start.endpoint); }
    void on_effect(const effect::cancel_endpoint_job& cancel)
    {
        this->active_jobs.erase({cancel.attempt, cancel.endpoint});
    }

    void on_effect(const effect::relay_token& token)
    {
        this->require(this->end_count == 0, "a token after the end of the request");
        this->require(token.text == std::to_string(this->relayed_tokens), "a token out of order");
        ++this->relayed_tokens;
    }

    void on_effect(const effect::finish_answer& /*finish*/)
    {
        this->on_end();
        this->require(this->relayed_tokens == answer_tokens, "an incomplete answer");
        this->active_jobs.clear();
    }

    void on_effect(const effect::refuse_request& refusal)
    {
        this->on_end();
        this->require(refusal.may_have_run || this->endpoint_may_have_run == 0, "a false not_run");
        this->require(this->active_jobs.empty(), "an active job of a refused request");
        this->require(this->open_permits.empty() || refusal.reason.kind == error_kind::overloaded,
                      "a permit that is never released");
    }

    void add_job(int attempt, const std::string& endpoint)
    {
        this->require(this->end_count == 0, "a call after the end of the request");
        this->active_jobs.insert({attempt, endpoint});
    }

    void on_end()
    {
        this->require(this->end_count == 0, "a second end of the request");
        ++this->end_count;
    }

    void require(bool condition, const std::string& what)
    {
        if (!condition && this->violation.empty())
            this->violation = what;
    }
};

std::vector<event::any> all_events()
{
    std::vector<event::any> events;
    for (const int attempt : {1, 2}) {
        const std::string suffix = std::to_string(attempt);
        events.emplace_back(event::granted{attempt, "p" + suffix, "d" + suffix});
        events.emplace_back(event::refused{attempt, error{error_kind::overloaded, "", ""}});
        events.emplace_back(event::prefilled{attempt});
        for (const call_failure failure : {call_failure::not_reached, call_failure::lost, call_failure::died,
                                           call_failure::not_held, call_failure::rejected}) {
            events.emplace_back(event::prefill_failed{attempt, failure});
            events.emplace_back(event::decode_failed{attempt, failure});
        }
        for (int offset = 0; offset < answer_tokens; ++offset)
            events.emplace_back(event::token_arrived{attempt, offset, std::to_string(offset)});
        events.emplace_back(event::answer_ended{attempt, answer_tokens});
    }
    events.emplace_back(event::caller_disconnected{});
    events.emplace_back(event::deadline_passed{});
    return events;
}

std::string state_key(const request_state& state, const request_observer& seen)
{
    std::ostringstream key;
    key << static_cast<int>(state.phase) << ' ' << state.attempt << ' ' << state.resumes_left << ' ' << state.deaths
        << ' ' << state.answered_tokens << ' ' << state.reached_endpoint << state.has_unresolved_call << ' '
        << state.prefill << ' ' << state.decode << '|' << seen.relayed_tokens << ' ' << seen.end_count << ' '
        << seen.endpoint_may_have_run;
    for (const auto& [attempt, endpoint] : seen.active_jobs)
        key << ' ' << attempt << endpoint;
    for (const int attempt : seen.open_permits)
        key << " o" << attempt;
    return key.str();
}

/// Records whether an endpoint may have worked on the request after this event.
void record_endpoint_work(request_observer& seen, const request_state& before, const event::any& next)
{
    const bool has_active_call = before.phase == request_phase::prefilling || before.phase == request_phase::decoding;
    if (!has_active_call)
        return;
    const bool leaves_call_open = std::holds_alternative<event::caller_disconnected>(next) ||
                                  std::holds_alternative<event::deadline_passed>(next);
    const auto* const done = std::get_if<event::prefilled>(&next);
    const auto* const failed = std::get_if<event::prefill_failed>(&next);
    const bool was_prefilled = done != nullptr && done->attempt == before.attempt;
    const bool was_reached =
        failed != nullptr && failed->attempt == before.attempt && failed->failure != call_failure::not_reached;
    if (leaves_call_open || was_prefilled || was_reached)
        seen.endpoint_may_have_run = 1;
}

/// Explores all sequences of events up to a depth. Returns the first violation and the number of distinct states.
std::pair<std::string, std::size_t> explore(const step_function& step_machine, int depth)
{
    struct node
    {
        request_state state;
        request_observer seen;
        int depth;
    };
    const std::vector<event::any> events = all_events();
    std::deque<node> frontier;
    auto [first, effects] = begin_request(attempt_limits{2, 1, 2});
    request_observer seen;
    seen.apply(effects);
    frontier.push_back({first, seen, 0});
    std::set<std::string> visited{state_key(first, seen)};
    while (!frontier.empty()) {
        const node current = frontier.front();
        frontier.pop_front();
        if (current.depth == depth)
            continue;
        for (const event::any& next : events) {
            request_observer after = current.seen;
            record_endpoint_work(after, current.state, next);
            if (const auto* const refused = std::get_if<event::refused>(&next))
                after.open_permits.erase(refused->attempt);
            auto [state, caused] = step_machine(current.state, next);
            after.apply(caused);
            if (!after.violation.empty())
                return {after.violation, visited.size()};
            if (visited.insert(state_key(state, after)).second)
                frontier.push_back({std::move(state), std::move(after), current.depth + 1});
        }
    }
    return {"", visited.size()};
}

/// Model of two hosts that received the same non-idempotent call and claim its key in the store. Writes may be lost,
/// delayed, or applied without an answer.
struct claim_model
{
    enum class phase { write, read, send, done, crashed };

    struct claiming_host
    {
        phase current_phase = phase::write;
        std::int64_t index = 0;
        std::int64_t delayed_index = -1;
        int runs = 0;
        bool reported_not_run = false;

        auto operator<=>(const claiming_host&) const = default;
    };

    int owner = -1;
    bool not_run = false;
    std::int64_t index = 0;
    std::array<claiming_host, 2> hosts;

    auto operator<=>(const claim_model&) const = default;
};

claim_request make_claim(int host)
{
    return {"c", "k", std::to_string(host), "f"};
}

bool apply_write(claim_model& model, int host, std::int64_t index)
{
    if (model.index != index)
        return false;
    model.owner = host;
    model.not_run = false;
    ++model.index;
    return true;
}

/// Returns the models that may follow a step of one host. `treats_lost_answer_as_success` plants a bug.
std::vector<claim_model> successor_models(const claim_model& model, int host, bool treats_lost_answer_as_success)
{
    using phase = claim_model::phase;
    std::vector<claim_model> next;
    const auto& self = model.hosts[static_cast<std::size_t>(host)];
    const auto branch = [&](const std::function<void(claim_model&, claim_model::claiming_host&)>& change) {
        claim_model copy = model;
        change(copy, copy.hosts[static_cast<std::size_t>(host)]);
        next.push_back(copy);
    };
    if (self.delayed_index >= 0) {
        branch([&](claim_model& after, claim_model::claiming_host& updated) {
            apply_write(after, host, updated.delayed_index);
            updated.delayed_index = -1;
        });
    }
    if (self.current_phase == phase::done || self.current_phase == phase::crashed)
        return next;
    branch([](claim_model&, claim_model::claiming_host& updated) { updated.current_phase = phase::crashed; });
    if (self.current_phase == phase::write) {
        branch([&](claim_model& after, claim_model::claiming_host& updated) {
            updated.current_phase = apply_write(after, host, updated.index) ? phase::send : phase::read;
        });
        branch([&](claim_model& after, claim_model::claiming_host& updated) {
            apply_write(after, host, updated.index);
            updated.current_phase = treats_lost_answer_as_success ? phase::send : phase::read;
        });
        branch([](claim_model&, claim_model::claiming_host& updated) {
            updated.delayed_index = updated.index;
            updated.current_phase = phase::read;
        });
    } else if (self.current_phase == phase::read) {
        branch([](claim_model&, claim_model::claiming_host& updated) {
            updated.current_phase = phase::done;
            updated.reported_not_run = true;
        });
        branch([&](claim_model& after, claim_model::claiming_host& updated) {
            std::optional<claim_record> record;
            if (after.index > 0) {
                record.emplace();
                record->owner = std::to_string(after.owner);
                record->status = after.not_run ? claim_status::not_run : claim_status::in_progress;
            }
            const claim_decision decision = decide_claim(make_claim(host), record, after.index);
            updated.index = decision.index;
            updated.current_phase = decision.next == claim_decision::next_step::claimed           ? phase::send
                                    : decision.next == claim_decision::next_step::already_claimed ? phase::done
                                                                                                  : phase::write;
        });
    } else {
        branch([](claim_model&, claim_model::claiming_host& updated) {
            ++updated.runs;
            updated.current_phase = phase::done;
        });
        branch([&](claim_model& after, claim_model::claiming_host& updated) {
            updated.current_phase = phase::done;
            updated.reported_not_run = true;
            const bool is_ours = after.owner == host && !after.not_run;
            if (is_ours) {
                after.not_run = true;
                ++after.index;
            }
        });
    }
    return next;
}

/// Explores all interleavings of both hosts' steps. Returns whether the call could run twice, and the number of
/// distinct states.
std::pair<bool, std::size_t> explore_claims(bool treats_lost_answer_as_success)
{
    std::set<claim_model> visited{claim_model{}};
    std::deque<claim_model> frontier{claim_model{}};
    constexpr std::int64_t max_writes = 6;
    while (!frontier.empty()) {
        const claim_model model = frontier.front();
        frontier.pop_front();
        if (model.hosts[0].runs + model.hosts[1].runs > 1)
            return {true, visited.size()};
        if (model.index > max_writes)
            continue;
        for (const int host : {0, 1}) {
            for (const claim_model& next : successor_models(model, host, treats_lost_answer_as_success)) {
                if (visited.insert(next).second)
                    frontier.push_back(next);
            }
        }
    }
    return {false, visited.size()};
}

class test_exploration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_exploration);
    CPPUNIT_TEST(request_machine_is_correct_for_all_event_orders);
    CPPUNIT_TEST(exploration_finds_planted_request_machine_bugs);
    CPPUNIT_TEST(claimed_call_runs_at_most_once_for_all_step_orders);
    CPPUNIT_TEST(exploration_finds_planted_claim_bug);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int depth = 12;

    void request_machine_is_correct_for_all_event_orders()
    {
        const auto [violation, states] =
            explore([](request_state state, const event::any& next) { return step(std::move(state), next); }, depth);
        std::cout << "request machine: " << states << " states to depth " << depth << "\n";
        CPPUNIT_ASSERT_EQUAL(std::string{}, violation);
        CPPUNIT_ASSERT(states > 100);
    }

    void exploration_finds_planted_request_machine_bugs()
    {
        // Bug: the machine sends no cancellations.
        const auto [uncancelled, ignored] = explore(
            [](request_state state, const event::any& next) {
                auto [after, effects] = step(std::move(state), next);
                std::erase_if(effects,
                              [](const auto& any) { return std::holds_alternative<effect::cancel_endpoint_job>(any); });
                return std::pair{after, effects};
            },
            depth);
        CPPUNIT_ASSERT_EQUAL(std::string{"an active job of a refused request"}, uncancelled);
        // Bug: the machine accepts tokens of any attempt at any offset.
        const auto [disordered, also_ignored] = explore(
            [](request_state state, const event::any& next) {
                const auto* const token = std::get_if<event::token_arrived>(&next);
                if (token == nullptr || state.phase != request_phase::decoding)
                    return step(std::move(state), next);
                ++state.answered_tokens;
                return std::pair{state, request_effects{effect::relay_token{token->text}}};
            },
            depth);
        CPPUNIT_ASSERT_EQUAL(std::string{"a token out of order"}, disordered);
        // Bug: the machine always reports not_run.
        const auto [untrue, ignored_too] = explore(
            [](request_state state, const event::any& next) {
                auto [after, effects] = step(std::move(state), next);
                for (effect::any& any : effects) {
                    if (auto* const refusal = std::get_if<effect::refuse_request>(&any))
                        refusal->may_have_run = false;
                }
                return std::pair{after, effects};
            },
            depth);
        CPPUNIT_ASSERT_EQUAL(std::string{"a false not_run"}, untrue);
    }

    void claimed_call_runs_at_most_once_for_all_step_orders()
    {
        const auto [runs_twice, states] = explore_claims(false);
        std::cout << "claims: " << states << " states\n";
        CPPUNIT_ASSERT(!runs_twice);
        CPPUNIT_ASSERT(states > 100);
    }

    void exploration_finds_planted_claim_bug() { CPPUNIT_ASSERT(explore_claims(true).first); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_exploration);

} // namespace
