#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "caller.h"
#include "process.h"

namespace radishstep::testing {

/// The size of a site and the figures of its stand-ins.
struct site_options
{
    int hosts = 2;
    int prefill = 2;
    int decode = 2;
    int services = 2;
    int decode_slots = 20;
    int prefill_us = 100;
    int decode_us = 3'000;
    int transfer_us = 5;
    int host_lag_ms = 1'000;
    int first_token_target_ms = 1'100;
    int request_deadline_ms = 30'000;
    int silence_ms = 600;
    int drain_notice_ms = 200;
    int evict_ms = 1'000;
    int load_lag_ms = 1'000;
    int token_target_ms = 70;
    std::string policy = "cell";
    /// Puts a relay before each endpoint, which can cut connections.
    bool relayed = false;
};

/// A whole site of real processes on loopback addresses of its own: the platform, engines, services,
/// brokers and entries. Names: host-1, prefill-1, decode-1, service-1 and so on.
class site
{
public:
    explicit site(site_options options = {});
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    /// Starts all processes and waits until every entry is ready.
    void start();

    void start_platform();
    void start_engine(const std::string& name);
    void start_service(const std::string& name);
    void start_relay(const std::string& endpoint);
    void start_broker(int host);
    void start_entry(int host);

    /// Returns the process called "broker-1", "entry-2", "decode-1", "service-1" or "platform".
    process& at(const std::string& name);
    bool has(const std::string& name) const;

    std::string entry(int host) const;
    std::string entry_admin(int host) const;
    std::string broker_admin(int host) const;
    std::string engine_address(const std::string& name) const;
    std::string service_address(const std::string& name) const;
    std::string platform_address() const;

    /// Returns the control address of the relay before an endpoint.
    std::string relay_control(const std::string& endpoint) const;
    /// Returns the file in which an endpoint writes down what it ran, a line "ms job" or "ms request key".
    std::string seen_log(const std::string& endpoint) const;

    std::vector<std::string> engines() const;
    std::vector<std::string> services() const;

    /// Runs radishctl with these arguments and returns what it printed; `code` takes its exit code.
    std::string ctl(const std::vector<std::string>& arguments, int* code = nullptr);

    /// Writes the site's configuration files, with `extra` after the base text, and applies them.
    void apply_config(const std::string& extra, const std::string& note);

    /// Publishes the host list with these hosts ("host-1", "decode-1", ...) as leaving.
    void publish_hosts(const std::vector<std::string>& leaving);

    /// Waits until the entry says that it is ready; returns false after `seconds`.
    bool wait_ready(int host, int seconds = 15);

    /// Returns the jobs that all running engines hold.
    std::vector<std::string> held_jobs();

    /// Returns the host whose broker owns the pool's cell, 0 when none does.
    int owner_of_pool();

    /// Stops entries and brokers gracefully; returns true when each ended with exit code 0.
    bool stop_gracefully();

    const std::string& folder() const { return this->directory; }
    caller& calls() { return this->client; }
    const site_options& sizes() const { return this->options; }

private:
    std::string configured_address(const std::string& endpoint) const;
    std::string ip(int last) const;
    std::string base_text(const std::string& extra) const;
    std::string zone(int index) const;
    void run(const std::string& name, const std::string& program, const std::vector<std::string>& arguments);

    site_options options;
    std::string network;
    std::string directory;
    std::map<std::string, std::unique_ptr<process>> processes;
    caller client;
    std::string extra_config;
};

} // namespace radishstep::testing
