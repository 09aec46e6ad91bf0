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

/// What an observer of one request has seen: who holds something, what the caller has.
struct observer
{
    std::set<std::pair<int, std::string>> holding;
    std::set<int> open_permits;
    int relayed = 0;
    int ends = 0;
    int possibly_run = 0;
    std::string violation;

    void take(const request_effects& effects)
    {
        for (const effect::any& any : effects)
            std::visit([this](const auto& content) { this->see(content); }, any);
    }

    void see(const effect::request_permit& ask) { this->open_permits.insert(ask.attempt); }
    void see(const effect::release_permit& done) { this->open_permits.erase(done.attempt); }
    void see(const effect::report_prefilled& /*done*/) {}
    void see(const effect::start_prefill& start) { this->hold(start.attempt, start.endpoint); }
    void see(const effect::start_decode& start) { this->hold(start.attempt, start.endpoint); }
    void see(const effect::cancel_endpoint_job& cancel) { this->holding.erase({cancel.attempt, cancel.endpoint}); }

    void see(const effect::relay_token& token)
    {
        this->require(this->ends == 0, "a token after the end");
        this->require(token.text == std::to_string(this->relayed), "a token out of order");
        ++this->relayed;
    }

    void see(const effect::finish_answer& /*finish*/)
    {
        this->end();
        this->require(this->relayed == answer_tokens, "a short answer");
        this->holding.clear();
    }

    void see(const effect::refuse_request& refusal)
    {
        this->end();
        this->require(refusal.may_have_run || this->possibly_run == 0, "a false not_run");
        this->require(this->holding.empty(), "an endpoint that holds a refused request");
        this->require(this->open_permits.empty() || refusal.reason.kind == error_kind::overloaded,
                      "a permit that nobody gives back");
    }

    void hold(int attempt, const std::string& endpoint)
    {
        this->require(this->ends == 0, "a call after the end");
        this->holding.insert({attempt, endpoint});
    }

    void end()
    {
        this->require(this->ends == 0, "a second end");
        ++this->ends;
    }

    void require(bool holds, const std::string& what)
    {
        if (!holds && this->violation.empty())
            this->violation = what;
    }
};

std::vector<event::any> all_events()
{
    std::vector<event::any> events;
    for (const int attempt : {1, 2}) {
        const std::string number = std::to_string(attempt);
        events.emplace_back(event::granted{attempt, "p" + number, "d" + number});
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

std::string key_of(const request_state& state, const observer& seen)
{
    std::ostringstream key;
    key << static_cast<int>(state.phase) << ' ' << state.attempt << ' ' << state.resumes_left << ' ' << state.deaths
        << ' ' << state.answered_tokens << ' ' << state.reached_endpoint << state.has_unresolved_call << ' '
        << state.prefill << ' ' << state.decode << '|' << seen.relayed << ' ' << seen.ends << ' ' << seen.possibly_run;
    for (const auto& [attempt, endpoint] : seen.holding)
        key << ' ' << attempt << endpoint;
    for (const int attempt : seen.open_permits)
        key << " o" << attempt;
    return key.str();
}

/// Notes an event after which an endpoint may have worked for the request.
void note_work(observer& seen, const request_state& before, const event::any& next)
{
    const bool has_call = before.phase == request_phase::prefilling || before.phase == request_phase::decoding;
    if (!has_call)
        return;
    const bool leaves_call_open =
        std::holds_alternative<event::caller_disconnected>(next) || std::holds_alternative<event::deadline_passed>(next);
    const auto* const done = std::get_if<event::prefilled>(&next);
    const auto* const failed = std::get_if<event::prefill_failed>(&next);
    const bool was_read = done != nullptr && done->attempt == before.attempt;
    const bool was_reached =
        failed != nullptr && failed->attempt == before.attempt && failed->failure != call_failure::not_reached;
    if (leaves_call_open || was_read || was_reached)
        seen.possibly_run = 1;
}

/// Explores all orders of the events to a depth. Returns the first violation, and how many states it saw.
std::pair<std::string, std::size_t> explore(const step_function& step_one, int depth)
{
    struct node
    {
        request_state state;
        observer seen;
        int depth;
    };
    const std::vector<event::any> events = all_events();
    std::deque<node> open;
    auto [first, effects] = begin_request(attempt_limits{2, 1, 2});
    observer seen;
    seen.take(effects);
    open.push_back({first, seen, 0});
    std::set<std::string> known{key_of(first, seen)};
    while (!open.empty()) {
        const node current = open.front();
        open.pop_front();
        if (current.depth == depth)
            continue;
        for (const event::any& next : events) {
            observer after = current.seen;
            note_work(after, current.state, next);
            if (const auto* const refused = std::get_if<event::refused>(&next))
                after.open_permits.erase(refused->attempt);
            auto [state, caused] = step_one(current.state, next);
            after.take(caused);
            if (!after.violation.empty())
                return {after.violation, known.size()};
            if (known.insert(key_of(state, after)).second)
                open.push_back({std::move(state), std::move(after), current.depth + 1});
        }
    }
    return {"", known.size()};
}

/// Two hosts that got the same non-idempotent call, and the store between them.
struct claim_world
{
    enum class phase { write, read, send, done, crashed };

    struct claimant
    {
        phase at = phase::write;
        std::int64_t index = 0;
        std::int64_t delayed_index = -1;
        int runs = 0;
        bool said_not_run = false;

        auto operator<=>(const claimant&) const = default;
    };

    int owner = -1;
    bool not_run = false;
    std::int64_t index = 0;
    std::array<claimant, 2> hosts;

    auto operator<=>(const claim_world&) const = default;
};

claim_request wish_of(int host)
{
    return {"c", "k", std::to_string(host), "f"};
}

bool apply_write(claim_world& world, int host, std::int64_t index)
{
    if (world.index != index)
        return false;
    world.owner = host;
    world.not_run = false;
    ++world.index;
    return true;
}

/// Returns the worlds that may follow, for one host; `trusts_lost_answers` is the planted bug.
std::vector<claim_world> next_worlds(const claim_world& world, int host, bool trusts_lost_answers)
{
    using phase = claim_world::phase;
    std::vector<claim_world> next;
    const auto& self = world.hosts[static_cast<std::size_t>(host)];
    const auto branch = [&](const std::function<void(claim_world&, claim_world::claimant&)>& change) {
        claim_world copy = world;
        change(copy, copy.hosts[static_cast<std::size_t>(host)]);
        next.push_back(copy);
    };
    if (self.delayed_index >= 0) {
        branch([&](claim_world& after, claim_world::claimant& me) {
            apply_write(after, host, me.delayed_index);
            me.delayed_index = -1;
        });
    }
    if (self.at == phase::done || self.at == phase::crashed)
        return next;
    branch([](claim_world&, claim_world::claimant& me) { me.at = phase::crashed; });
    if (self.at == phase::write) {
        branch([&](claim_world& after, claim_world::claimant& me) {
            me.at = apply_write(after, host, me.index) ? phase::send : phase::read;
        });
        branch([&](claim_world& after, claim_world::claimant& me) {
            apply_write(after, host, me.index);
            me.at = trusts_lost_answers ? phase::send : phase::read;
        });
        branch([](claim_world&, claim_world::claimant& me) {
            me.delayed_index = me.index;
            me.at = phase::read;
        });
    } else if (self.at == phase::read) {
        branch([](claim_world&, claim_world::claimant& me) {
            me.at = phase::done;
            me.said_not_run = true;
        });
        branch([&](claim_world& after, claim_world::claimant& me) {
            std::optional<claim_record> record;
            if (after.index > 0) {
                record.emplace();
                record->owner = std::to_string(after.owner);
                record->status = after.not_run ? claim_status::not_run : claim_status::in_progress;
            }
            const claim_decision verdict = decide_claim(wish_of(host), record, after.index);
            me.index = verdict.index;
            me.at = verdict.next == claim_decision::next_step::claimed ? phase::send
                    : verdict.next == claim_decision::next_step::taken ? phase::done
                                                                      : phase::write;
        });
    } else {
        branch([](claim_world&, claim_world::claimant& me) {
            ++me.runs;
            me.at = phase::done;
        });
        branch([&](claim_world& after, claim_world::claimant& me) {
            me.at = phase::done;
            me.said_not_run = true;
            const bool is_ours = after.owner == host && !after.not_run;
            if (is_ours) {
                after.not_run = true;
                ++after.index;
            }
        });
    }
    return next;
}

/// Explores all orders of both hosts' steps. Returns whether the call could run twice, and the states seen.
std::pair<bool, std::size_t> explore_claims(bool trusts_lost_answers)
{
    std::set<claim_world> known{claim_world{}};
    std::deque<claim_world> open{claim_world{}};
    constexpr std::int64_t most_writes = 6;
    while (!open.empty()) {
        const claim_world world = open.front();
        open.pop_front();
        if (world.hosts[0].runs + world.hosts[1].runs > 1)
            return {true, known.size()};
        if (world.index > most_writes)
            continue;
        for (const int host : {0, 1}) {
            for (const claim_world& next : next_worlds(world, host, trusts_lost_answers)) {
                if (known.insert(next).second)
                    open.push_back(next);
            }
        }
    }
    return {false, known.size()};
}

class test_exploration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_exploration);
    CPPUNIT_TEST(request_machine_holds_in_all_orders);
    CPPUNIT_TEST(planted_bugs_of_the_request_machine_are_found);
    CPPUNIT_TEST(claims_run_once_in_all_orders);
    CPPUNIT_TEST(planted_bug_of_the_claims_is_found);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int depth = 12;

    void request_machine_holds_in_all_orders()
    {
        const auto [violation, states] =
            explore([](request_state state, const event::any& next) { return step(std::move(state), next); }, depth);
        std::cout << "request machine: " << states << " states to depth " << depth << "\n";
        CPPUNIT_ASSERT_EQUAL(std::string{}, violation);
        CPPUNIT_ASSERT(states > 100);
    }

    void planted_bugs_of_the_request_machine_are_found()
    {
        // A machine that forgets its cancels.
        const auto [uncancelled, ignored] = explore(
            [](request_state state, const event::any& next) {
                auto [after, effects] = step(std::move(state), next);
                std::erase_if(effects, [](const auto& any) { return std::holds_alternative<effect::cancel_endpoint_job>(any); });
                return std::pair{after, effects};
            },
            depth);
        CPPUNIT_ASSERT_EQUAL(std::string{"an endpoint that holds a refused request"}, uncancelled);
        // A machine that takes tokens of any attempt at any offset.
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
        // A machine that always says not_run.
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

    void claims_run_once_in_all_orders()
    {
        const auto [twice, states] = explore_claims(false);
        std::cout << "claims: " << states << " states\n";
        CPPUNIT_ASSERT(!twice);
        CPPUNIT_ASSERT(states > 100);
    }

    void planted_bug_of_the_claims_is_found() { CPPUNIT_ASSERT(explore_claims(true).first); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_exploration);

} // namespace
