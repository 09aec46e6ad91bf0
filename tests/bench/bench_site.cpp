#include "bench_site.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

namespace radishstep::testing {

namespace {

constexpr int hosts = 6;
constexpr double first_token_target_ms = 1'100 / time_scale;
constexpr double token_target_ms = 70 / time_scale;
constexpr int evict_ms = static_cast<int>(1'000 / time_scale);
constexpr int load_lag_ms = static_cast<int>(1'000 / time_scale);
constexpr int slow_factor = 4;
constexpr int slow_ms = 500;
constexpr int slow_period_ms = 1'200;

site_options options_of(const deployment& place, const bench_case& wanted)
{
    site_options options;
    options.hosts = hosts;
    options.prefill = place.prefill;
    options.decode = place.decode;
    options.services = place.services;
    options.decode_slots = decode_slots;
    options.prefill_us = prefill_token_us;
    options.decode_us = token_us;
    options.transfer_us = 1;
    options.first_token_target_ms = static_cast<int>(first_token_target_ms);
    options.evict_ms = evict_ms;
    options.load_lag_ms = load_lag_ms;
    options.stream_idle_timeout_ms = 3'000;
    options.policy = wanted.policy;
    return options;
}

load::load_options load_of(const site& running, const deployment& place, const bench_case& wanted)
{
    load::load_options options;
    for (int host = 1; host <= hosts; ++host)
        options.entries.push_back(running.entry(host));
    options.keys = {"coach-key", "parent-key", "night-key"};
    options.model = "gala-notes";
    options.seed = wanted.seed;
    options.rate = capacity_of(place) * wanted.load;
    options.seconds = wanted.seconds;
    options.surge_factor = wanted.surge_factor;
    options.surge_from_s = wanted.surge_from_s;
    options.surge_to_s = wanted.surge_to_s;
    options.prompt_tokens = prompt_tokens;
    options.answer_tokens = answer_tokens;
    options.plain_path = "/entries/heat";
    options.plain_rate = wanted.plain_rate;
    return options;
}

/// Slows two decode engines in turn for moments, until it is destroyed.
class slow_moments
{
public:
    slow_moments(site& running, bool wanted) : running(running)
    {
        if (wanted)
            this->thread = std::thread{[this] { this->run(); }};
    }

    ~slow_moments()
    {
        this->done = true;
        if (this->thread.joinable())
            this->thread.join();
    }

    slow_moments(const slow_moments&) = delete;
    slow_moments& operator=(const slow_moments&) = delete;

private:
    void run()
    {
        const nlohmann::json fault{{"slow_factor", slow_factor}, {"slow_ms", slow_ms}};
        for (int turn = 0; !this->done; ++turn) {
            const std::string engine = "decode-" + std::to_string(1 + turn % 2);
            this->control.send(this->running.engine_address(engine), "POST", "/fault", fault.dump());
            std::this_thread::sleep_for(std::chrono::milliseconds{slow_period_ms / 2});
        }
    }

    site& running;
    caller control;
    std::atomic<bool> done{false};
    std::thread thread;
};

double waste_of(site& running)
{
    double read = 0;
    double wasted = 0;
    for (const std::string& name : running.engines()) {
        const auto json =
            nlohmann::json::parse(running.calls().get(running.engine_address(name), "/v1/status"), nullptr, false);
        read += json.value("prefill_tokens", 0.0);
        wasted += json.value("wasted_prefill_tokens", 0.0);
    }
    return read == 0 ? 0 : wasted / read;
}

double cpu_of(site& running, const std::string& prefix)
{
    double seconds = 0;
    for (int host = 1; host <= hosts; ++host)
        seconds += running.at(prefix + std::to_string(host)).cpu_seconds();
    return seconds;
}

} // namespace

double capacity_of(const deployment& place)
{
    constexpr double us_per_s = 1e6;
    const double writes = place.decode * decode_slots / (answer_tokens * token_us / us_per_s);
    const double reads = place.prefill / (prompt_tokens * prefill_token_us / us_per_s);
    return std::min(writes, reads);
}

load::latency_targets scaled_targets()
{
    return {first_token_target_ms, token_target_ms};
}

bench_result run_case(const deployment& place, const bench_case& wanted)
{
    site running{options_of(place, wanted)};
    running.start();
    std::this_thread::sleep_for(std::chrono::milliseconds{500});
    const auto options = load_of(running, place, wanted);
    const auto plan = load::make_plan(options);
    boost::asio::io_context context{1};
    http::client calls{context.get_executor()};
    bench_result result;
    auto work = [&]() -> boost::asio::awaitable<void> {
        result.samples = co_await load::run_load(calls, options, *plan);
    };
    const double entry_before = cpu_of(running, "entry-");
    const double broker_before = cpu_of(running, "broker-");
    {
        const slow_moments slowness{running, wanted.slow_engines};
        boost::asio::co_spawn(context, work, boost::asio::detached);
        context.run();
    }
    result.entry_cpu_s = cpu_of(running, "entry-") - entry_before;
    result.broker_cpu_s = cpu_of(running, "broker-") - broker_before;
    std::this_thread::sleep_for(std::chrono::milliseconds{2 * evict_ms});
    result.waste_share = waste_of(running);
    result.all = load::compute_figures(result.samples, scaled_targets(), 0, wanted.seconds);
    return result;
}

} // namespace radishstep::testing
