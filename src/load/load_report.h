#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/error.h"
#include "load/load_run.h"

namespace radishstep::load {

/// The latency targets by which a request counts as good.
struct latency_targets
{
    double first_token_ms = 1'100;
    double token_ms = 70;

    bool operator==(const latency_targets&) const = default;
};

/// The figures of one run.
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
    std::vector<int> good_by_client;
    std::vector<int> calls_by_client;

    bool operator==(const load_figures&) const = default;
};

/// Returns the value below which `part` of the values lie, 0 when there are none.
double quantile(const std::vector<double>& values, double part);

/// Returns the figures of those samples that arrived from `from_s` to before `to_s`.
load_figures figures_of(const std::vector<call_sample>& samples, const latency_targets& targets, double from_s,
                        double to_s);

/// Returns the run as JSON, with its samples; and the samples of such a text.
std::string to_json(const load_figures& figures, const std::vector<call_sample>& samples);
result<std::vector<call_sample>> samples_from_json(const std::string& text);

/// Returns a page with the figures and plots of one or more runs; it needs no other file.
std::string html_page(const std::map<std::string, std::vector<call_sample>>& runs, const latency_targets& targets);

} // namespace radishstep::load
