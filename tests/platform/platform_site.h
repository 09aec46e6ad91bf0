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
#include "standin_engine.h"
#include "standin_store.h"

namespace radishstep::testing {

/// What a caller of the platform got.
struct site_answer
{
    unsigned status = 0;
    http::headers lines;
    std::string body;
    bool is_whole = false;
};

/// What a caller of the platform asks.
struct site_request
{
    std::string path = "/plain/1";
    std::string id = "attempt-1";
    std::string method = "POST";
    std::string body = "body";
    int deadline_ms = 3'000;
    http::headers more;
    /// Leave after this time; 0 stays to the end.
    milliseconds leave_after{0};
};

/// A small site of the platform: the store and the engines in this process, the gateway as a process of
/// its own. Services: "app" with plain endpoints p0, p1, ...; "llm" with engines r0, ... (prefill) and
/// d0, ... (decode).
class platform_site
{
public:
    explicit platform_site(int plain = 2, int readers = 1, int decoders = 2);
    ~platform_site();
    platform_site(const platform_site&) = delete;
    platform_site& operator=(const platform_site&) = delete;

    /// Starts the gateway without waiting for it to be ready.
    void start_gateway();

    /// Waits until the gateway says that it is ready; returns whether it did within `span`.
    bool wait_ready(milliseconds span = milliseconds{5'000});

    /// Returns whether the gateway says that it is ready.
    bool is_ready();

    /// Writes the configuration: routes /plain/ (idempotent), /once/ (not), /stream/ and /resume/.
    void write_config(int version, const std::string& extra_prefix = "");

    /// Writes all engines' entries.
    void announce_engines();

    /// Makes one call to the gateway.
    site_answer call(const site_request& wish);

    /// Returns the log of the gateway so far.
    std::string log() const;

    standin_engine& engine(const std::string& id);

    boost::asio::io_context io;
    std::unique_ptr<standin_store> store;
    std::vector<std::pair<std::string, std::unique_ptr<standin_engine>>> engines;
    std::optional<process> gateway;
    std::string callers_address;

private:
    void write_settings();

    std::string folder;
    std::string ready_address;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    std::thread thread;
    caller calls;
};

/// Waits until `holds` returns true; returns whether it did within `span`.
bool wait_until(const std::function<bool()>& holds, milliseconds span = milliseconds{3'000});

} // namespace radishstep::testing
