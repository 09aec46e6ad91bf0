#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "caller.h"
#include "process.h"

namespace radishstep::testing {

/// The size of a site, the timing of its simulated engines and the settings of its routers.
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
    /// How long a stream may stay without data before the entry resumes it on a new connection.
    int stream_idle_timeout_ms = 600;
    int drain_notice_ms = 200;
    int evict_ms = 1'000;
    int load_lag_ms = 1'000;
    int token_target_ms = 70;
    std::string policy = "cell";
    /// Puts a relay that can cut connections in front of each endpoint.
    bool relayed = false;
};

/// A complete site of real processes on its own loopback addresses: a platform stand-in, engines, services,
/// brokers and entries. Processes are named platform, broker-1, entry-1, prefill-1, decode-1, service-1 and so on.
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

    /// Returns the process with this name, such as "broker-1", "entry-2", "decode-1", "service-1" or "platform".
    process& at(const std::string& name);
    bool has_process(const std::string& name) const;

    std::string entry(int host) const;
    std::string entry_admin(int host) const;
    std::string broker_admin(int host) const;
    std::string engine_address(const std::string& name) const;
    std::string service_address(const std::string& name) const;
    std::string platform_address() const;

    /// Returns the control address of the relay before an endpoint.
    std::string relay_control(const std::string& endpoint) const;
    /// Returns the path of the file in which an endpoint records what it ran, in lines "ms job" or
    /// "ms request key".
    std::string run_log_file(const std::string& endpoint) const;

    std::vector<std::string> engines() const;
    std::vector<std::string> services() const;

    /// Runs radishctl and returns its output; stores its exit code in `code` unless that is null.
    std::string ctl(const std::vector<std::string>& arguments, int* code = nullptr);

    /// Writes the site's configuration files, with `extra` appended to the base text, and applies them.
    void apply_config(const std::string& extra, const std::string& note);

    /// Publishes the list of hosts; those named ("host-1", "decode-1", ...) are marked as leaving.
    void publish_hosts(const std::vector<std::string>& leaving);

    /// Waits until the entry reports that it is ready; returns false after `seconds`.
    bool wait_ready(int host, int seconds = 15);

    /// Returns the jobs that the running engines report as held, each as "engine job".
    std::vector<std::string> held_jobs();

    /// Returns the number of the host whose broker owns a cell, 0 when none does.
    int owner_of_pool();

    /// Stops entries, then brokers with SIGTERM; returns true when each ended with exit code 0.
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
