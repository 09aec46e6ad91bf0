#include "base/metrics.h"

#include <map>
#include <memory>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace radishstep {

namespace {

prometheus::Registry& registry()
{
    static prometheus::Registry instance;
    return instance;
}

prometheus::Labels to_labels(metric_labels labels)
{
    return {labels.begin(), labels.end()};
}

/// Upper bounds in seconds; 1.1 s is the default pool_config::first_token_target.
const prometheus::Histogram::BucketBoundaries latency_bucket_bounds_s{
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.1, 2.5, 5.0, 10.0, 30.0, 60.0};

} // namespace

void count(const std::string& name, metric_labels labels, double amount)
{
    prometheus::BuildCounter().Name(name).Register(registry()).Add(to_labels(labels)).Increment(amount);
}

void set_gauge(const std::string& name, double value, metric_labels labels)
{
    prometheus::BuildGauge().Name(name).Register(registry()).Add(to_labels(labels)).Set(value);
}

void observe_seconds(const std::string& name, double seconds, metric_labels labels)
{
    auto& family = prometheus::BuildHistogram().Name(name).Register(registry());
    family.Add(to_labels(labels), latency_bucket_bounds_s).Observe(seconds);
}

std::string metrics_text()
{
    return prometheus::TextSerializer{}.Serialize(registry().Collect());
}

} // namespace radishstep
