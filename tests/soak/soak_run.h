#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include "fault_proxy.h"
#include "notice_checker.h"
#include "platform_site.h"

namespace radishstep::testing {

/// The seed, the duration and the size of one soak run.
struct soak_plan
{
    std::uint64_t seed = 1;
    int seconds = 10;
    int hosts = 3;
    int callers = 10;
};

/// Runs gateway processes under load, injects seeded faults from outside the processes, and checks the
/// guarantees of the gateway by what callers received and what endpoints ran.
class soak_run
{
public:
    explicit soak_run(soak_plan plan);

    /// Returns one line for each failed check; empty when all checks passed.
    std::vector<std::string> run();

private:
    struct ended_call
    {
        site_request request;
        site_response got;
        bool has_disconnected = false;
    };

    void start_hosts();
    void send_calls(int caller_number);
    /// Sends a request and records it for the checks.
    site_response send_call(caller& calls, const site_request& request, std::size_t host);
    site_request make_request(std::mt19937_64& random, const std::string& id) const;
    void inject_fault();
    void inject_engine_fault();
    void inject_host_fault();
    void inject_store_fault();
    void inject_notice();
    void restart_engine(standin_engine& engine);
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
    void check_invalid_answers();
    void check_leaving_engine(const std::string& id, const std::string& path);
    void check_paused_engine(const std::string& id, const std::string& path);
    void send_notice_probes(const std::string& path, int count_per_host);
    void check_notices();
    void add_finding(const std::string& what);
    int random_below(int below);

    soak_plan plan;
    std::mt19937_64 random;
    /// Separate, so that a seed's other faults stay the same.
    std::mt19937_64 notice_random;
    platform_site site;
    std::vector<std::unique_ptr<fault_proxy>> proxies;
    std::mutex mutex;
    std::vector<ended_call> ended_calls;
    notice_checker notices;
    int notice_probes = 0;
    std::vector<std::string> findings;
    std::atomic<bool> is_over = false;
    int version = 1;
};

} // namespace radishstep::testing
