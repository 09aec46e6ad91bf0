#pragma once

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include "caller.h"
#include "process.h"
#include "reserved_address.h"
#include "standin_engine.h"
#include "standin_store.h"

namespace radishstep::testing {

/// The response that a caller of the gateway received.
struct site_response
{
    unsigned status = 0;
    http::headers lines;
    std::string body;
    bool is_complete = false;
};

/// A caller's request to the gateway.
struct site_request
{
    std::string path = "/plain/1";
    std::string id = "attempt-1";
    std::string method = "POST";
    std::string body = "body";
    int deadline_ms = 3'000;
    http::headers extra_headers;
    /// Disconnects after this time; 0 waits for the response.
    milliseconds disconnect_after{0};
};

/// A small site of the platform: the store and the engines run in this process, each host's gateway in a process
/// of its own. Services: "app" with plain endpoints p0, p1, ...; "llm" with engines r0, ... (prefill) and
/// d0, ... (decode).
class platform_site
{
public:
    explicit platform_site(int plain_endpoints = 2, int prefill_engines = 1, int decode_engines = 2, int hosts = 1);
    ~platform_site();
    platform_site(const platform_site&) = delete;
    platform_site& operator=(const platform_site&) = delete;

    /// Sets the number of retries that the hosts may use beside their share of the requests; for gateways started
    /// after it.
    void set_retry_slack(int retries);

    /// Sets the memory, in MB, and the descriptors of each host; for gateways started after it.
    void set_host_limits(int memory_mb, int descriptors);

    /// Sets the configuration's limits for callers and writes the configuration's first version again.
    void set_caller_limits(int header_bytes, int body_bytes);

    /// Starts a host's gateway without waiting for it to be ready.
    void start_gateway(std::size_t host = 0);

    /// Returns a host's gateway, if it was started.
    std::optional<process>& gateway(std::size_t host = 0) { return this->hosts[host].gateway; }

    /// Returns the address on which a host's gateway accepts callers, as "IP:port".
    std::string callers_address(std::size_t host = 0) const { return this->hosts[host].callers.text(); }

    /// Returns the address at which a host receives the reports of others, as "IP:port".
    std::string peer_address(std::size_t host = 0) const { return this->hosts[host].peers.text(); }

    /// Waits until the gateway reports that it is ready; returns whether it did within `timeout`.
    bool wait_until_ready(milliseconds timeout = milliseconds{5'000}, std::size_t host = 0);

    /// Waits until the first host's gateway knows that it is registered. Before that, it assumes that many hosts share
    /// the retry budget, which leaves it a single retry. Returns whether it was registered in time.
    bool wait_until_registered();

    /// Returns whether the gateway reports that it is ready.
    bool is_ready(std::size_t host = 0);

    /// Writes the configuration: routes /plain/ (idempotent), /once/ (not), /stream/ and /resume/.
    void write_config(int version, const std::string& extra_prefix = "");

    /// Writes a configuration with the same routes that names no service.
    void write_config_without_services(int version);

    /// Writes the entries of all engines into the store.
    void register_engines();

    /// Sends a request to the first host's gateway and returns the response.
    site_response call(const site_request& request);

    /// Returns the log of a host's gateway so far.
    std::string log(std::size_t host = 0) const;

    /// Keeps the hosts' settings and logs after destruction; returns their directory.
    const std::string& keep_files();

    /// Returns a host's metrics in Prometheus' text form.
    std::string metrics(std::size_t host = 0);

    standin_engine& engine(const std::string& id);

    /// Sets the script of all engines.
    void set_script(const answer_script& script);

    /// Returns the number of calls that all engines together have run.
    int total_runs() const;

    boost::asio::io_context io;
    std::unique_ptr<standin_store> store;
    std::vector<std::pair<std::string, std::unique_ptr<standin_engine>>> engines;

private:
    struct site_host
    {
        reserved_address callers;
        reserved_address ready;
        reserved_address peers;
        std::string name;
        std::optional<process> gateway;
    };

    void write_settings(const site_host& host) const;
    void put_config(int version, const std::string& extra_prefix, bool has_services);
    std::string file_path(std::size_t host, const std::string& ending) const;

    std::vector<site_host> hosts;
    std::string directory;
    bool are_files_kept = false;
    int retry_slack = 20;
    /// 0: the settings name no limits.
    int memory_mb = 0;
    int descriptors = 0;
    int max_header_bytes = 8'192;
    int max_body_bytes = 100'000;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
    caller calls;
};

/// Sends a request to the gateway at `address` and returns the response.
boost::asio::awaitable<site_response> call_gateway(std::string address, site_request request);

/// Waits until `condition` returns true; returns whether it did within `timeout`.
bool wait_until(const std::function<bool()>& condition, milliseconds timeout = milliseconds{3'000});

} // namespace radishstep::testing
