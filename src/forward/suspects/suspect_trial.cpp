#include "forward/suspects/suspect_trial.h"

#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/text.h"

namespace radishstep::forward {

namespace asio = boost::asio;

suspect_trial::suspect_trial(forward_context& context, const std::vector<std::string>& traits)
    : context(context), traits(traits)
{
}

suspect_trial::~suspect_trial()
{
    this->end(false);
}

asio::awaitable<bool> suspect_trial::admit(call_canceller& canceller)
{
    if (this->is_trial())
        co_return true;
    std::vector<std::string> suspected = this->suspected_parts();
    if (this->context.trials.claimed_until(suspected, runtime_clock::now())) {
        // Another request's trial may have been answered a moment ago, or lost.
        co_await canceller.wait_for(this->context.trials.settle_time());
        if (this->is_quarantined())
            co_return false;
        suspected = this->suspected_parts();
    }
    if (suspected.empty())
        co_return true;
    if (!this->context.trials.claim(suspected, runtime_clock::now())) {
        this->has_been_refused = true;
        co_return false;
    }
    this->claimed = std::move(suspected);
    co_await canceller.wait_for(this->context.trials.settle_time());
    this->has_been_refused = !this->context.trials.confirm(this->claimed);
    if (this->has_been_refused || this->is_quarantined())
        co_return false;
    count("radishstep_forward_suspect_trials_total");
    log_state("suspect_trial", {{"parts", join_first(this->claimed)}});
    co_return true;
}

/// Returns whether the request's quarantine has been renewed: its parts are then no longer listed as suspected.
bool suspect_trial::is_quarantined() const
{
    return this->context.is_quarantined(this->traits, false);
}

std::vector<std::string> suspect_trial::suspected_parts() const
{
    return this->context.suspects.suspected_parts(this->traits, runtime_clock::now());
}

void suspect_trial::end(bool is_lost)
{
    // A claim that was lost to another host's may be another request's by now.
    if (!this->is_trial() || this->has_been_refused || std::exchange(this->has_ended, true))
        return;
    this->context.trials.end(this->claimed, is_lost, runtime_clock::now());
}

} // namespace radishstep::forward
