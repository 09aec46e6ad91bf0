#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "forward/forward_context.h"
#include "forward/forward_server.h"
#include "forward/gateway_settings.h"
#include "forward/load_report_exchange.h"
#include "forward/phase_controller.h"
#include "keyvalue/key_value_store.h"
#include "keyvalue/watched_prefix.h"

namespace radishstep::forward {

/// How a site writes down what the gateway reads from the key-value service.
struct document_decoders
{
    std::string config_key;
    std::string endpoints_prefix;
    std::function<result<forward_config>(const std::string& document)> decode_config;
    std::function<result<endpoint>(const std::string& key, const std::string& document)> decode_endpoint;
    /// Reads the settings again.
    std::function<result<gateway_settings>()> read_settings;
};

/// The process between callers and discovered endpoints: keeps configuration, endpoints and hosts up to
/// date, serves callers, says whether it is ready, and stops without cutting anything.
class gateway
{
public:
    gateway(boost::asio::io_context& io, gateway_settings settings, const forward_dialect& dialect,
            key_value_store& store, document_decoders documents);
    ~gateway();
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Opens the addresses and starts all work, or returns what is wrong with the settings.
    result<void> start();

private:
    bool is_ready() const;
    http::response readiness_answer() const;
    void watch_store();
    void take_config(const key_change& change);
    void take_endpoint(const key_change& change);
    void take_all_endpoints(const std::vector<key_change>& items);
    void take_own(const key_change& change);
    void take_host(const key_change& change);
    void apply_settings(const gateway_settings& next);
    boost::asio::awaitable<void> stay_registered();
    /// Returns the time until the next renewal of the registration.
    milliseconds renewal_pause() const;
    load_report_hooks own_peer_hooks();
    boost::asio::awaitable<void> keep_house();
    boost::asio::awaitable<void> follow_settings();
    boost::asio::awaitable<void> wait_for_signals();
    boost::asio::awaitable<void> stop_gracefully();

    boost::asio::io_context& io;
    gateway_settings settings;
    key_value_store& store;
    document_decoders documents;
    forward_context context;
    load_report_exchange peers;
    phase_controller phases;
    std::unique_ptr<forward_server> callers;
    std::unique_ptr<http::server> readiness;
    std::unique_ptr<http::server> metrics;
    std::vector<std::unique_ptr<watched_prefix>> watches;
    std::map<std::string, std::string> hosts;
    boost::asio::signal_set signals;
    /// The last failed call before the store answered again, while its watches are opened anew for that.
    std::optional<time_point> answers_since;
    bool has_endpoints = false;
    bool is_stopping = false;
    bool must_register = false;
};

} // namespace radishstep::forward
