#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "config/site_config.h"
#include "http/message.h"
#include "http/server.h"
#include "keyvalue/claim_store.h"
#include "routing/plain_call_machine.h"

namespace radishstep {

struct traffic_context;

/// Drives one call to a plain service: feeds events to the call machine and carries out its effects
/// at the claim store, the endpoints and the caller.
class plain_call
{
public:
    plain_call(traffic_context& shared, const http::request& asked, const client_config& client,
               const service_config& service);

    /// Serves the call; returns when the caller has its answer or its refusal.
    boost::asio::awaitable<void> run(http::reply& reply);

    /// Returns true when the call must not run twice: it carries an Idempotency-Key.
    bool is_non_idempotent() const;

private:
    using next_event = boost::asio::awaitable<std::optional<plain_call_event::any>>;

    next_event perform(const plain_call_effect::any& effect, http::reply& reply);
    next_event call_endpoint(std::vector<std::string> avoid);
    boost::asio::awaitable<void> record(claim_record outcome);
    boost::asio::awaitable<void> answer(plain_call_effect::send_answer answer, http::reply& reply);
    boost::asio::awaitable<void> refuse(plain_call_effect::refuse_call refusal, http::reply& reply);
    http::request forwarded() const;
    claim_request wish() const;

    traffic_context& shared;
    http::request asked;
    client_config client;
    service_config service;
    std::string name;
    std::string key;
    std::string fingerprint;
    time_point arrived;
};

} // namespace radishstep
