#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Parts of suspected requests of which some host sends one, to learn whether endpoints still crash on them. Meanwhile
/// all hosts refuse the others. A host claims the parts, informs the other hosts and waits until they could have
/// answered with a claim of their own, of which the one of the host that is first by name holds.
class crash_trials
{
public:
    /// How long a claim of another host holds after it was last reported, and a lost trial's own claim: until the crash
    /// is confirmed and known to all hosts.
    static constexpr milliseconds claim_lifetime{3'000};
    static constexpr std::size_t max_reported_claims = 16;
    /// Bound of the other hosts' claims.
    static constexpr std::size_t max_peer_claims = 1'024;

    /// Called when the other hosts should learn of a claim soon.
    std::function<void()> on_news;

    /// Sets this host's name and how long a new claim waits for those of other hosts.
    void configure(std::string own_host, milliseconds settle);

    /// Returns how long a new claim waits for those of other hosts.
    milliseconds settle_time() const { return this->settle; }

    /// Returns until when a claim of any of the parts holds at the latest, or nothing if there is none.
    std::optional<time_point> claimed_until(const std::vector<std::string>& parts, time_point now) const;

    /// Claims the parts for a request of this host. Returns false if one of them is claimed.
    bool claim(const std::vector<std::string>& parts, time_point now);

    /// Makes a claim final unless another host's claim has replaced it; returns whether it holds.
    bool confirm(const std::vector<std::string>& parts);

    /// Ends a claim of this host: at once, or after the claim lifetime if the request was lost.
    void end(const std::vector<std::string>& parts, bool is_lost, time_point now);

    /// Returns the parts of this host's claims that are new since a time, or all.
    std::vector<std::string> own_claims(time_point since) const;

    /// Applies the claims that another host has reported.
    void apply_peer_claims(const std::string& host, const std::vector<std::string>& parts, time_point now);

    /// Drops claims that have ended; called several times a second.
    void expire(time_point now);

private:
    struct own_claim
    {
        time_point news_at;
        bool is_final = false;
        /// Set once the request was lost.
        std::optional<time_point> until;
    };

    std::string host;
    milliseconds settle{0};
    std::map<std::string, own_claim> own;
    /// When the claims of other hosts end, by part.
    std::map<std::string, time_point> peers;
};

} // namespace radishstep::forward
