#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "forward/forward_context.h"
#include "forward/gateway_settings.h"
#include "keyvalue/key_value_store.h"

namespace radishstep::forward {

/// Changes surplus prefill engines into decode engines, on one host of the fleet at a time. That host
/// holds a key under a lease; the key's revision is the fencing token of its orders.
class phase_controller
{
public:
    /// Where the key of the host that gives orders stands.
    static constexpr const char* leader_key = "radishstep/orders";

    phase_controller(forward_context& context, key_value_store& store, const gateway_settings& settings);

    /// Gives orders, while this host holds the key, until the process ends.
    boost::asio::awaitable<void> run();

    /// Tells whether some host holds the key, as far as the store has told.
    void set_has_leader(bool is_held) { this->is_held = is_held; }

    /// Takes how many hosts look whether the key is free.
    void set_host_count(std::size_t count) { this->hosts = count; }

    /// Stops giving orders; the key is left to its lease.
    void stop() { this->is_stopped = true; }

private:
    struct change_in_progress
    {
        std::string incarnation;
        time_point until;
        std::unique_ptr<load_guard> mark;
    };

    boost::asio::awaitable<bool> take_key();
    boost::asio::awaitable<bool> renew();
    boost::asio::awaitable<void> give_orders();
    boost::asio::awaitable<void> order(endpoint engine, const service& known);
    void report_order(const endpoint& engine, const result<http::response>& got, bool is_taken) const;
    std::vector<std::string> changing() const;

    forward_context& context;
    key_value_store& store;
    const gateway_settings& settings;
    std::int64_t lease = 0;
    std::int64_t token = 0;
    time_point renewed;
    time_point first_order;
    std::vector<change_in_progress> changes;
    /// Nobody tries to take the key before the store has told that it is free.
    bool is_held = true;
    bool is_stopped = false;
    std::size_t hosts = 1;
};

} // namespace radishstep::forward
