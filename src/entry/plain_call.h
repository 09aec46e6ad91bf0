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

/// Drives one call to a plain service: feeds events to the call state machine and performs its effects at
/// the claim store, the endpoints and the caller.
class plain_call
{
public:
    plain_call(traffic_context& shared, const http::request& request, const client_config& client,
               const service_config& service);

    /// Serves the call; returns when its answer or refusal has been sent to the caller.
    boost::asio::awaitable<void> run(http::reply& reply);

    /// Returns true when the call carries an Idempotency-Key and so must run at most once.
    bool is_non_idempotent() const;

private:
    using next_event = boost::asio::awaitable<std::optional<plain_call_event::any>>;

    next_event perform(const plain_call_effect::any& effect, http::reply& reply);
    next_event call_endpoint(std::vector<std::string> avoid);
    boost::asio::awaitable<void> record_outcome(claim_record outcome);
    boost::asio::awaitable<void> send_answer(plain_call_effect::send_answer answer, http::reply& reply);
    boost::asio::awaitable<void> send_refusal(plain_call_effect::refuse_call refusal, http::reply& reply);
    http::request make_forwarded_request() const;
    claim_request make_claim_request() const;

    traffic_context& shared;
    http::request request;
    client_config client;
    service_config service;
    std::string request_id;
    std::string idempotency_key;
    std::string fingerprint;
    time_point arrived_at;
};

} // namespace radishstep
