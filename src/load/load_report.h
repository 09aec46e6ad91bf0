#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "load/load_run.h"

namespace radishstep::load {

/// The latency targets that a good request meets: both of them, with a complete answer.
struct latency_targets
{
    double first_token_ms = 1'100;
    double token_ms = 70;

    bool operator==(const latency_targets&) const = default;
};

/// The results of one run. All but plain_p99_ms cover completions only; each completion
/// counts as exactly one of good, late (complete, over a target), refused (error answer) or failed (anything else).
struct load_figures
{
    int calls = 0;
    int good = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    double seconds = 0;
    double goodput_per_s = 0;
    double good_share = 0;
    double first_token_p50_ms = 0;
    double first_token_p99_ms = 0;
    double token_p99_ms = 0;
    double refusal_p50_ms = 0;
    double plain_p99_ms = 0;
    double tokens_per_s = 0;
    /// Indexed by call_sample::client.
    std::vector<int> good_by_client;
    std::vector<int> calls_by_client;

    bool operator==(const load_figures&) const = default;
};

/// Returns the quantile of `values` at `probability` (0 to 1), 0 when there are no values.
double quantile(const std::vector<double>& values, double probability);

/// Returns the figures of the samples whose planned arrival lies from `from_s` to before `to_s`.
load_figures compute_figures(const std::vector<call_sample>& samples, const latency_targets& targets, double from_s,
                             double to_s);

/// Returns the figures and samples of a run as JSON.
std::string to_json(const load_figures& figures, const std::vector<call_sample>& samples);

/// Returns the samples in a text that to_json wrote.
result<std::vector<call_sample>> samples_from_json(const std::string& text);

/// Returns a self-contained HTML page with the figures and plots of one or more runs, by the run's name.
std::string make_html_page(const std::map<std::string, std::vector<call_sample>>& runs, const latency_targets& targets);

} // namespace radishstep::load
