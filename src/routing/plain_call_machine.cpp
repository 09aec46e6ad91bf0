#include "routing/plain_call_machine.h"

namespace radishstep {

namespace {

namespace event = plain_call_event;
namespace effect = plain_call_effect;

/// Applies one event to a state and collects the effects.
class transition
{
public:
    explicit transition(plain_call_state state) : state(std::move(state)) {}

    void operator()(const event::claimed& /*claimed*/)
    {
        if (this->state.phase == plain_call_phase::claiming)
            this->call();
    }

    void operator()(const event::claim_taken& taken)
    {
        if (this->state.phase != plain_call_phase::claiming)
            return;
        const claim_record& record = taken.record;
        if (record.fingerprint != this->state.fingerprint) {
            this->refuse({error_kind::duplicate_call, "the idempotency key was used for another call",
                          "use a new key for each call"},
                         false);
            return;
        }
        if (record.status == claim_status::answered) {
            this->state.phase = plain_call_phase::ended;
            this->add(effect::send_answer{record.http_status, record.content_type, record.body, true});
            return;
        }
        this->refuse({error_kind::duplicate_call, "a call with this idempotency key was already sent",
                      "ask the service for the outcome; do not send it under a new key"},
                     true);
    }

    void operator()(const event::claim_failed& /*failed*/)
    {
        if (this->state.phase != plain_call_phase::claiming)
            return;
        this->refuse({error_kind::claim_unavailable, "the key-value service does not answer",
                      "send the call again with the same key later"},
                     false);
    }

    void operator()(const event::answered& answer)
    {
        if (this->state.phase != plain_call_phase::calling)
            return;
        this->state.phase = plain_call_phase::ended;
        if (this->state.non_idempotent) {
            claim_record outcome;
            outcome.status = claim_status::answered;
            outcome.http_status = answer.http_status;
            outcome.content_type = answer.content_type;
            outcome.body = answer.body;
            this->record(std::move(outcome));
        }
        this->add(effect::send_answer{answer.http_status, answer.content_type, answer.body, false});
    }

    void operator()(const event::call_failed& failed)
    {
        if (this->state.phase != plain_call_phase::calling)
            return;
        if (failed.was_sent)
            this->state.may_have_run = true;
        this->state.avoid.push_back(failed.endpoint);
        const bool may_send_again = !this->state.non_idempotent || !failed.was_sent;
        if (may_send_again && this->state.calls_left > 0) {
            this->call();
            return;
        }
        this->give_up({error_kind::endpoint_failed, "the service's endpoint failed", "send the call again later"});
    }

    void operator()(const event::no_endpoint& /*none*/)
    {
        if (this->state.phase != plain_call_phase::calling)
            return;
        this->give_up(
            {error_kind::no_endpoint, "no endpoint of the service is reachable", "send the call again later"});
    }

    void operator()(const event::caller_disconnected& /*left*/)
    {
        // A call that was sent runs to its end, so that its outcome is recorded for the next try.
        if (this->state.phase != plain_call_phase::claiming)
            return;
        this->refuse({error_kind::caller_gone, "the caller closed its connection", ""}, false);
    }

    plain_call_state state;
    plain_call_effects effects;

private:
    void add(effect::any next) { this->effects.push_back(std::move(next)); }

    void call()
    {
        this->state.phase = plain_call_phase::calling;
        --this->state.calls_left;
        this->add(effect::call_endpoint{this->state.avoid});
    }

    void record(claim_record outcome)
    {
        outcome.fingerprint = this->state.fingerprint;
        this->add(effect::record_outcome{std::move(outcome)});
    }

    void give_up(error reason)
    {
        const bool key_may_be_used_again = this->state.non_idempotent && !this->state.may_have_run;
        if (key_may_be_used_again) {
            claim_record outcome;
            outcome.status = claim_status::not_run;
            this->record(std::move(outcome));
        }
        if (this->state.may_have_run && this->state.non_idempotent) {
            reason = {error_kind::outcome_unknown, "the connection broke after the call was sent",
                      "ask the service for the outcome; do not send it under a new key"};
        }
        this->refuse(std::move(reason), this->state.may_have_run);
    }

    void refuse(error reason, bool may_have_run)
    {
        this->state.phase = plain_call_phase::ended;
        this->add(effect::refuse_call{std::move(reason), may_have_run});
    }
};

} // namespace

std::pair<plain_call_state, plain_call_effects> begin_plain_call(bool non_idempotent, std::string fingerprint)
{
    plain_call_state state;
    state.non_idempotent = non_idempotent;
    state.fingerprint = std::move(fingerprint);
    if (non_idempotent) {
        state.phase = plain_call_phase::claiming;
        return {state, {effect::create_claim{}}};
    }
    --state.calls_left;
    return {state, {effect::call_endpoint{{}}}};
}

std::pair<plain_call_state, plain_call_effects> step(plain_call_state state, const plain_call_event::any& event)
{
    transition change{std::move(state)};
    std::visit(change, event);
    return {std::move(change.state), std::move(change.effects)};
}

} // namespace radishstep
