#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "forward/gateway/forward_context.h"
#include "forward/gateway/gateway_settings.h"
#include "keyvalue/key_value_store.h"

namespace radishstep::forward {

/// Changes surplus prefill engines into decode engines. Only the elected leader among the hosts does this: it owns a
/// key under a lease, and the key's revision is the fencing token of its orders to engines.
class phase_controller
{
public:
    /// Key of the leader election in the key-value store.
    static constexpr const char* leader_key = "radishstep/orders";

    phase_controller(forward_context& context, key_value_store& store, const gateway_settings& settings);

    /// Takes part in the election and sends orders while this host is the leader, until stop().
    boost::asio::awaitable<void> run();

    /// Sets whether some host owns the leader key, as the gateway's watch last saw it in the store.
    void set_has_leader(bool has_leader) { this->has_leader = has_leader; }

    /// Sets how many hosts take part in the election.
    void set_host_count(std::size_t count) { this->host_count = count; }

    /// Stops sending orders; the leader key expires with its lease.
    void stop() { this->is_stopped = true; }

private:
    struct phase_change
    {
        std::string incarnation;
        time_point ends_at;
        std::unique_ptr<load_guard> load;
    };

    boost::asio::awaitable<bool> acquire_leadership();
    boost::asio::awaitable<bool> renew_leadership();
    boost::asio::awaitable<void> send_orders();
    boost::asio::awaitable<void> send_order(endpoint engine, const service& target);
    void log_order(const endpoint& engine, const result<http::response>& answer, bool is_accepted) const;
    std::vector<std::string> changing_incarnations() const;

    forward_context& context;
    key_value_store& store;
    const gateway_settings& settings;
    std::int64_t lease = 0;
    std::int64_t fencing_token = 0;
    time_point renewed_at;
    time_point first_order_at;
    std::vector<phase_change> changes_in_progress;
    /// Initially true, so that no election is attempted before the store reports that the key is free.
    bool has_leader = true;
    bool is_stopped = false;
    std::size_t host_count = 1;
};

} // namespace radishstep::forward
