#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/runtime_clock.h"
#include "config/site_config.h"
#include "entry/control_messages.h"
#include "entry/entry_settings.h"
#include "http/client.h"
#include "keyvalue/claim_store.h"
#include "keyvalue/kv_client.h"
#include "routing/endpoint_balancer.h"

namespace radishstep {

/// State shared by all requests of one entry process. Used only on the traffic duty's thread.
struct traffic_context
{
    traffic_context(boost::asio::any_io_executor executor, entry_settings settings, std::int64_t incarnation,
                    control_ring& control_inbox);

    /// Returns a new request ID: "host:incarnation:number".
    std::string next_request_id();

    /// Sends a message to the control duty; returns false, and drops the message, when the ring is full.
    bool push_to_control(to_control::any message);

    /// Returns the address of a model endpoint in the configuration in force, or "" when it is not listed.
    std::string find_endpoint_address(const std::string& endpoint) const;

    boost::asio::any_io_executor executor;
    entry_settings settings;
    std::int64_t incarnation;
    control_ring& control_inbox;
    http::client http_client;
    kv_client store;
    claim_store claims;
    endpoint_balancer balancer;
    std::shared_ptr<const site_config> site;
    /// Called with the grant or refusal of each permit request.
    std::map<permit_key, std::function<void(const to_traffic::any&)>> permit_callbacks;
    std::uint64_t last_request_number = 0;
    /// Number of outcomes of non-idempotent calls that are not yet written to their claims.
    std::size_t pending_claim_writes = 0;
    bool draining = false;
};

} // namespace radishstep
