#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "platform_site.h"

namespace radishstep::testing {

/// What a soak does.
struct soak_plan
{
    std::uint64_t seed = 1;
    int seconds = 10;
    int hosts = 3;
    int callers = 10;
};

/// Runs gateways as processes under callers' load, injects seeded faults from outside them, and checks
/// the promises from what callers and endpoints saw.
class soak_run
{
public:
    explicit soak_run(soak_plan plan);

    /// Returns what was broken; empty when everything held.
    std::vector<std::string> run();

private:
    struct ended_call
    {
        site_request request;
        site_response got;
        bool has_left = false;
    };

    void start_hosts();
    void send_calls(int caller_number);
    site_request next_wish(std::mt19937_64& random, const std::string& id) const;
    void inject_fault();
    void disturb_engine();
    void disturb_host();
    void disturb_store();
    void change_config();
    void end_faults();
    void check_answers();
    void check_runs();
    void check_budget();
    void check_recovery();
    void check_drain();
    void check_config();
    void check_older_config();
    void check_cancellation();
    void check_retries();
    void check_spoiled_answers();
    void broken(const std::string& what);
    int pick(int below);

    soak_plan plan;
    std::mt19937_64 random;
    platform_site site;
    std::vector<std::unique_ptr<fault_proxy>> proxies;
    std::mutex mutex;
    std::vector<ended_call> ended;
    std::vector<std::string> findings;
    std::atomic<bool> is_over = false;
    int version = 1;
};

} // namespace radishstep::testing
