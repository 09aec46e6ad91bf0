#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace radishstep {

using metric_label = std::pair<std::string, std::string>;
using metric_labels = std::initializer_list<metric_label>;

/// Adds `amount` to the counter `name`. Names and units are listed in docs/METRICS.md.
void count(const std::string& name, metric_labels labels = {}, double amount = 1);

/// Sets the gauge `name` to `value`.
void set_gauge(const std::string& name, double value, metric_labels labels = {});

/// Adds one observation, in seconds, to the histogram `name`.
void observe_seconds(const std::string& name, double seconds, metric_labels labels = {});

/// Returns all metrics of this process in Prometheus' text form.
std::string metrics_text();

} // namespace radishstep
