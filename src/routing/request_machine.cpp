#include "routing/request_machine.h"

namespace radishstep {

namespace {

namespace event = request_event;
namespace effect = request_effect;

/// Applies one event to a state and collects the effects.
class transition
{
public:
    explicit transition(request_state state) : state(std::move(state)) {}

    void operator()(const event::granted& granted)
    {
        const bool expected = this->state.phase == request_phase::waiting && granted.attempt == this->state.attempt;
        if (!expected) {
            this->release_stale_grant(granted);
            return;
        }
        this->state.phase = request_phase::prefilling;
        this->state.prefill = granted.prefill;
        this->state.decode = granted.decode;
        this->state.resumes_left = this->state.limits.resumes_per_attempt;
        this->state.has_unresolved_call = true;
        this->add(effect::start_prefill{this->state.attempt, granted.prefill});
    }

    void operator()(const event::refused& refused)
    {
        if (this->state.phase != request_phase::waiting || refused.attempt != this->state.attempt)
            return;
        this->refuse(refused.reason);
    }

    void operator()(const event::prefilled& done)
    {
        if (!this->is_current(request_phase::prefilling, done.attempt))
            return;
        this->state.phase = request_phase::decoding;
        this->state.reached_endpoint = true;
        this->add(effect::report_prefilled{this->state.attempt});
        this->add(effect::start_decode{this->state.attempt, this->state.decode, this->state.prefill,
                                       this->state.answered_tokens, false});
    }

    void operator()(const event::prefill_failed& failed)
    {
        if (!this->is_current(request_phase::prefilling, failed.attempt))
            return;
        const bool can_retry_prefill = failed.failure == call_failure::lost && this->state.resumes_left > 0;
        if (!can_retry_prefill) {
            this->end_attempt(this->state.prefill, failed.failure);
            return;
        }
        // The endpoint recognizes the job by its name and does not prefill the prompt twice.
        this->state.reached_endpoint = true;
        --this->state.resumes_left;
        this->add(effect::start_prefill{this->state.attempt, this->state.prefill});
    }

    void operator()(const event::token_arrived& token)
    {
        if (!this->is_current(request_phase::decoding, token.attempt))
            return;
        const bool is_repeated_token = token.offset < this->state.answered_tokens;
        if (is_repeated_token)
            return;
        const bool has_gap = token.offset > this->state.answered_tokens;
        if (has_gap) {
            this->resume_or_retry(call_failure::lost);
            return;
        }
        ++this->state.answered_tokens;
        this->state.resumes_left = this->state.limits.resumes_per_attempt;
        this->add(effect::relay_token{token.text});
    }

    void operator()(const event::answer_ended& ended)
    {
        if (!this->is_current(request_phase::decoding, ended.attempt))
            return;
        if (ended.total_tokens != this->state.answered_tokens) {
            this->resume_or_retry(call_failure::lost);
            return;
        }
        this->state.phase = request_phase::ended;
        this->add(effect::release_permit{this->state.attempt, {}, {}});
        this->add(effect::finish_answer{ended.total_tokens});
    }

    void operator()(const event::decode_failed& failed)
    {
        if (this->is_current(request_phase::decoding, failed.attempt))
            this->resume_or_retry(failed.failure);
    }

    void operator()(const event::caller_disconnected& /*disconnected*/)
    {
        this->abandon({error_kind::caller_gone, "the caller closed its connection", ""});
    }

    void operator()(const event::deadline_passed& /*passed*/)
    {
        this->abandon({error_kind::deadline_exceeded, "the request did not end before its deadline",
                       "send it again, or ask for a shorter answer"});
    }

    request_state state;
    request_effects effects;

private:
    void add(effect::any next) { this->effects.push_back(std::move(next)); }

    bool is_current(request_phase phase, int attempt) const
    {
        return this->state.phase == phase && this->state.attempt == attempt;
    }

    void release_stale_grant(const event::granted& granted)
    {
        const bool is_repeated_grant =
            this->state.phase != request_phase::ended && granted.attempt == this->state.attempt;
        if (!is_repeated_grant)
            this->add(effect::release_permit{granted.attempt, {}, {}});
    }

    void resume_or_retry(call_failure failure)
    {
        const bool can_resume = failure == call_failure::lost && this->state.resumes_left > 0;
        if (!can_resume) {
            this->end_attempt(this->state.decode, failure);
            return;
        }
        --this->state.resumes_left;
        this->add(effect::start_decode{this->state.attempt, this->state.decode, this->state.prefill,
                                       this->state.answered_tokens, true});
    }

    /// Cancels the attempt's jobs, releases its permit and starts the next attempt within the limits.
    void end_attempt(const std::string& endpoint, call_failure failure)
    {
        this->record_call_outcome(failure);
        this->cancel_endpoint_jobs();
        std::vector<std::string> died;
        if (failure == call_failure::died) {
            died.push_back(endpoint);
            ++this->state.deaths;
        }
        this->add(effect::release_permit{this->state.attempt, {endpoint}, died});
        this->state.avoid.push_back(endpoint);
        if (failure == call_failure::rejected) {
            this->refuse({error_kind::bad_request, "the endpoint rejected the request", "see the model's limits"});
            return;
        }
        if (this->state.deaths >= this->state.limits.deaths) {
            this->refuse({error_kind::poison_request, "endpoints stopped while they ran this request",
                          "do not send it again; report it to the operators"});
            return;
        }
        if (this->state.attempt >= this->state.limits.attempts) {
            this->refuse({error_kind::endpoint_failed, "every attempt failed", "send the request again later"});
            return;
        }
        ++this->state.attempt;
        this->state.phase = request_phase::waiting;
        this->state.prefill.clear();
        this->state.decode.clear();
        this->add(effect::request_permit{this->state.attempt, this->state.avoid});
    }

    void record_call_outcome(call_failure failure)
    {
        if (failure != call_failure::not_reached)
            this->state.reached_endpoint = true;
        this->state.has_unresolved_call = false;
    }

    void cancel_endpoint_jobs()
    {
        if (!this->state.prefill.empty())
            this->add(effect::cancel_endpoint_job{this->state.attempt, this->state.prefill});
        const bool reached_decode = this->state.phase == request_phase::decoding;
        if (reached_decode)
            this->add(effect::cancel_endpoint_job{this->state.attempt, this->state.decode});
    }

    void abandon(error reason)
    {
        if (this->state.phase == request_phase::ended)
            return;
        this->cancel_endpoint_jobs();
        this->add(effect::release_permit{this->state.attempt, {}, {}});
        this->refuse(std::move(reason));
    }

    void refuse(error reason)
    {
        this->state.phase = request_phase::ended;
        const bool may_have_run = this->state.reached_endpoint || this->state.has_unresolved_call;
        this->add(effect::refuse_request{std::move(reason), may_have_run});
    }
};

} // namespace

std::string_view to_string(call_failure failure)
{
    switch (failure) {
    case call_failure::not_reached:
        return "not_reached";
    case call_failure::lost:
        return "lost";
    case call_failure::not_held:
        return "not_held";
    case call_failure::died:
        return "died";
    case call_failure::rejected:
        break;
    }
    return "rejected";
}

std::pair<request_state, request_effects> begin_request(const attempt_limits& limits)
{
    request_state state;
    state.limits = limits;
    state.resumes_left = limits.resumes_per_attempt;
    return {state, {request_effect::request_permit{state.attempt, {}}}};
}

std::pair<request_state, request_effects> step(request_state state, const request_event::any& event)
{
    transition change{std::move(state)};
    std::visit(change, event);
    return {std::move(change.state), std::move(change.effects)};
}

} // namespace radishstep
