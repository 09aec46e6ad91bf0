#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "forward/fleet/load_report_exchange.h"
#include "forward/fleet/phase_controller.h"
#include "forward/gateway/forward_context.h"
#include "forward/gateway/gateway_settings.h"
#include "forward/serving/forward_server.h"
#include "keyvalue/key_value_store.h"
#include "keyvalue/watched_prefix.h"

namespace radishstep::forward {

/// Keys of the gateway's documents in the key-value store, the functions that decode the documents, and the reader of
/// the settings file. Supplied by the deployment's platform code.
struct document_decoders
{
    std::string config_key;
    std::string endpoints_prefix;
    std::function<result<forward_config>(const std::string& document)> decode_config;
    std::function<result<endpoint>(const std::string& key, const std::string& document)> decode_endpoint;
    /// Reads the settings file.
    std::function<result<gateway_settings>()> read_settings;
};

/// The gateway process: follows configuration, endpoints and hosts in the key-value store, forwards callers'
/// requests to endpoints, answers readiness probes, and lets requests in progress finish when it is stopped.
class gateway
{
public:
    gateway(boost::asio::io_context& io, gateway_settings settings, const forward_dialect& dialect,
            key_value_store& store, document_decoders documents);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Binds all addresses and starts all tasks; returns an error if an address cannot be used.
    result<void> start();

private:
    bool is_ready() const;
    /// Returns whether all endpoints are known, or at least one of each service.
    bool knows_endpoints() const;
    http::response readiness_response() const;
    void start_watches();
    void apply_config(const key_change& change);
    void apply_endpoint_change(const key_change& change);
    /// Adds the endpoints of a page while the others are still being read.
    void add_first_endpoints(const std::vector<key_change>& items);
    void replace_endpoints(const std::vector<key_change>& items);
    void apply_gateway_key(const key_change& change);
    void apply_host_change(const key_change& change);
    /// Applies the hosts if they have changed. Once for all changes that arrive together: when a fleet starts,
    /// hundreds.
    void apply_registered_hosts();
    /// Applies the settings that can change without a restart: the retry limits and the shutdown grace time.
    void apply_settings(const gateway_settings& next);
    boost::asio::awaitable<void> maintain_registration();
    /// Returns the time until the next renewal of the registration's lease.
    milliseconds renewal_interval() const;
    load_report_hooks make_report_hooks();
    boost::asio::awaitable<void> run_maintenance();
    /// Tells the ledger of the client accounts how much of the fleet this host hears.
    void update_ledger(time_point now);
    boost::asio::awaitable<void> poll_settings();
    boost::asio::awaitable<void> wait_for_signals();
    boost::asio::awaitable<void> stop_gracefully();

    boost::asio::io_context& io;
    gateway_settings settings;
    key_value_store& store;
    document_decoders documents;
    forward_context context;
    load_report_exchange load_reports;
    phase_controller phase_control;
    std::unique_ptr<forward_server> caller_server;
    std::unique_ptr<http::server> readiness_server;
    std::unique_ptr<http::server> metrics_server;
    std::vector<std::unique_ptr<watched_prefix>> watches;
    /// Load report addresses of the registered hosts, by host name.
    std::map<std::string, std::string> registered_hosts;
    boost::asio::signal_set signals;
    /// Time of the last failed renewal before the key-value store answered again. Set until the watches that were
    /// restarted for that recovery have been answered.
    std::optional<time_point> last_failed_renewal_at;
    bool has_endpoints = false;
    /// The registered hosts have been read once.
    bool are_hosts_known = false;
    bool is_stopping = false;
    bool must_register = false;
    /// The registered hosts have changed since apply_registered_hosts().
    bool have_hosts_changed = false;
};

} // namespace radishstep::forward
