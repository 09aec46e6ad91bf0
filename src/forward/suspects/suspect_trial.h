#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "forward/gateway/forward_context.h"
#include "forward/serving/call_canceller.h"

namespace radishstep::forward {

/// Admits a request on which endpoints have crashed, once its quarantine is over, as the only such one of all hosts.
/// Ends with the request. Other requests are admitted at once.
class suspect_trial
{
public:
    suspect_trial(forward_context& context, const std::vector<std::string>& traits);
    ~suspect_trial();
    suspect_trial(const suspect_trial&) = delete;
    suspect_trial& operator=(const suspect_trial&) = delete;

    /// Returns whether the request may be sent. Waits for the other hosts' claims if endpoints have crashed on it.
    boost::asio::awaitable<bool> admit(call_canceller& canceller);

    /// Returns whether the request was sent as a trial, so that one loss more is reason enough to refuse it.
    bool is_trial() const { return !this->claimed.empty(); }

    /// Returns whether the request must be refused because another trial is in progress.
    bool is_refused() const { return this->has_been_refused; }

    /// Ends the trial: an endpoint has begun to answer, or the request was lost.
    void end(bool is_lost);

private:
    std::vector<std::string> suspected_parts() const;
    bool is_quarantined() const;

    forward_context& context;
    const std::vector<std::string>& traits;
    /// The parts that this request has claimed.
    std::vector<std::string> claimed;
    bool has_been_refused = false;
    bool has_ended = false;
};

} // namespace radishstep::forward
