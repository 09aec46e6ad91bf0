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

/// What the requests of one entry process share. All of it belongs to the traffic duty's thread.
struct traffic_context
{
    traffic_context(boost::asio::any_io_executor executor, entry_settings settings, std::int64_t incarnation,
                    control_ring& control);

    /// Returns a new request name: "host:incarnation:number".
    std::string next_request();

    /// Sends a message to the control duty. Returns false when its ring is full.
    bool tell(to_control::any message);

    /// Returns the address of an endpoint in the configuration in force, or "".
    std::string address_of(const std::string& endpoint) const;

    boost::asio::any_io_executor executor;
    entry_settings settings;
    std::int64_t incarnation;
    control_ring& control;
    http::client calls;
    kv_client store;
    claim_store claims;
    endpoint_balancer balancer;
    std::shared_ptr<const site_config> site;
    /// Who waits for the broker's word on a permit.
    std::map<permit_key, std::function<void(const to_traffic::any&)>> waiting;
    std::uint64_t last_number = 0;
    /// Outcomes of non-idempotent calls that are not yet written to their claims.
    std::size_t open_records = 0;
    bool draining = false;
};

} // namespace radishstep
