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

/// What a caller of the platform got.
struct site_response
{
    unsigned status = 0;
    http::headers lines;
    std::string body;
    bool is_complete = false;
};

/// What a caller of the platform asks.
struct site_request
{
    std::string path = "/plain/1";
    std::string id = "attempt-1";
    std::string method = "POST";
    std::string body = "body";
    int deadline_ms = 3'000;
    http::headers extra_headers;
    /// Leave after this time; 0 stays to the end.
    milliseconds disconnect_after{0};
};

/// A small site of the platform: the store and the engines in this process, the gateway as a process of
/// its own. Services: "app" with plain endpoints p0, p1, ...; "llm" with engines r0, ... (prefill) and
/// d0, ... (decode).
class platform_site
{
public:
    explicit platform_site(int plain = 2, int readers = 1, int decoders = 2, int hosts = 1);
    ~platform_site();
    platform_site(const platform_site&) = delete;
    platform_site& operator=(const platform_site&) = delete;

    /// Starts a host's gateway without waiting for it to be ready.
    void start_gateway(std::size_t host = 0);

    /// Returns a host's gateway, if it was started.
    std::optional<process>& gateway(std::size_t host = 0) { return this->hosts[host].gateway; }

    /// Returns where a host's gateway takes callers, as "IP:port".
    std::string callers_address(std::size_t host = 0) const { return this->hosts[host].callers.text(); }

    /// Waits until the gateway says that it is ready; returns whether it did within `span`.
    bool wait_until_ready(milliseconds span = milliseconds{5'000}, std::size_t host = 0);

    /// Returns whether the gateway says that it is ready.
    bool is_ready(std::size_t host = 0);

    /// Writes the configuration: routes /plain/ (idempotent), /once/ (not), /stream/ and /resume/.
    void write_config(int version, const std::string& extra_prefix = "");

    /// Writes all engines' entries.
    void register_engines();

    /// Makes one call to the first host's gateway.
    site_response call(const site_request& request);

    /// Returns the log of a host's gateway so far.
    std::string log(std::size_t host = 0) const;

    /// Leaves the settings and logs of the hosts where they are; returns their folder.
    const std::string& keep_files();

    standin_engine& engine(const std::string& id);

    boost::asio::io_context io;
    std::unique_ptr<standin_store> store;
    std::vector<std::pair<std::string, std::unique_ptr<standin_engine>>> engines;

private:
    struct host_of_site
    {
        reserved_address callers;
        reserved_address ready;
        reserved_address peers;
        std::string name;
        std::optional<process> gateway;
    };

    void write_settings(const host_of_site& host) const;
    std::string file_of(std::size_t host, const std::string& ending) const;

    std::vector<host_of_site> hosts;
    std::string folder;
    bool are_files_kept = false;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
    caller calls;
};

/// Makes one call to the gateway at `address`.
boost::asio::awaitable<site_response> call_gateway(std::string address, site_request request);

/// Waits until `holds` returns true; returns whether it did within `span`.
bool wait_until(const std::function<bool()>& holds, milliseconds span = milliseconds{3'000});

} // namespace radishstep::testing
