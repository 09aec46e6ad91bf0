#pragma once

#include <string>
#include <vector>

#include "load/load_report.h"
#include "site.h"

namespace radishstep::testing {

/// One of the brief's deployments, with times scaled down so that a run ends soon.
struct deployment
{
    std::string name;
    int prefill = 4;
    int decode = 8;
    int services = 3;
};

/// All times of the bench are the real ones divided by this.
inline constexpr double time_scale = 4;

/// The scaled figures of the engines and of the load.
inline constexpr int token_us = 10'000;
inline constexpr int prefill_token_us = 22;
inline constexpr int decode_slots = 20;
inline constexpr int prompt_tokens = 600;
inline constexpr int answer_tokens = 60;

/// What one run is to show.
struct bench_case
{
    std::string policy = "cell";
    double load = 0.95;
    double seconds = 10;
    double surge_factor = 1;
    double surge_from_s = 0;
    double surge_to_s = 0;
    bool slow_engines = false;
    double plain_rate = 0;
    std::uint64_t seed = 1;
};

/// What one run showed.
struct bench_result
{
    load::load_figures all;
    std::vector<load::call_sample> samples;
    double waste_share = 0;
    double entry_cpu_s = 0;
    double broker_cpu_s = 0;
};

/// Returns how many requests a second the deployment's engines can serve at the most.
double capacity_of(const deployment& place);

/// Returns the scaled latency targets.
load::latency_targets scaled_targets();

/// Starts the deployment's processes, runs one load and stops them.
bench_result run_case(const deployment& place, const bench_case& wanted);

} // namespace radishstep::testing
