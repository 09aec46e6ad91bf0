#pragma once

#include <optional>

#include "forward/gateway/forward_context.h"

namespace radishstep::forward {

/// Admits one request for its client account: by its key, then by what the account may still use on all hosts. Admits
/// each request if the configuration has no accounts.
class account_admission
{
public:
    /// The referenced objects outlive the admission.
    account_admission(forward_context& context, const forward_config& config, const route& matched_route,
                      caller_request& request);

    /// Finds the request's account and sets its name and priorities; returns an error if there is none.
    std::optional<error> identify();

    /// Takes the request from the account's quota; returns an error if that is used up.
    std::optional<error> charge(time_point now);

    /// Returns when a request that was not charged may come again.
    milliseconds retry_delay(time_point now);

    /// Gives the charge back if the request was refused unrun with this HTTP status.
    void settle(unsigned status, time_point now);

private:
    void set_priorities(time_point now);

    forward_context& context;
    const forward_config& config;
    const route& matched_route;
    caller_request& request;
    const accounts::client_account* account = nullptr;
    double charged_units = 0;
};

} // namespace radishstep::forward
