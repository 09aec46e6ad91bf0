#include "load/load_report.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <nlohmann/json.hpp>

namespace radishstep::load {

namespace {

constexpr double plot_width = 640;
constexpr double plot_height = 240;
constexpr int curve_intervals = 100;

bool is_good(const call_sample& sample, const latency_targets& targets)
{
    return sample.whole && sample.first_token_ms <= targets.first_token_ms && sample.mean_token_ms <= targets.token_ms;
}

/// One curve of a plot, with its legend.
struct curve
{
    std::string name;
    std::vector<std::pair<double, double>> points;
};

std::string curve_colour(std::size_t number)
{
    constexpr const char* colours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555"};
    return colours[number % 6];
}

std::string plot(const std::string& title, const std::string& x_name, const std::vector<curve>& curves)
{
    double max_x = 1e-9;
    double max_y = 1e-9;
    for (const curve& line : curves) {
        for (const auto& [x, y] : line.points) {
            max_x = std::max(max_x, x);
            max_y = std::max(max_y, y);
        }
    }
    std::ostringstream svg;
    svg << "<h2>" << title << "</h2><svg width='" << plot_width + 80 << "' height='" << plot_height + 50 << "'>";
    svg << "<rect x='50' y='5' width='" << plot_width << "' height='" << plot_height << "' fill='none' stroke='#999'/>";
    svg << "<text x='0' y='15'>" << std::setprecision(4) << max_y << "</text><text x='50' y='" << plot_height + 22
        << "'>0</text><text x='" << plot_width - 60 << "' y='" << plot_height + 22 << "'>" << max_x << " " << x_name
        << "</text>";
    for (std::size_t i = 0; i < curves.size(); ++i) {
        svg << "<polyline fill='none' stroke='" << curve_colour(i) << "' points='";
        for (const auto& [x, y] : curves[i].points) {
            svg << 50 + x / max_x * plot_width << "," << 5 + plot_height - y / max_y * plot_height << " ";
        }
        svg << "'/><text fill='" << curve_colour(i) << "' x='" << 60 + i * 150 << "' y='" << plot_height + 42 << "'>"
            << curves[i].name << "</text>";
    }
    svg << "</svg>";
    return svg.str();
}

/// Returns the cumulative distribution of `values`: the share of values up to each x.
curve cumulative_distribution(const std::string& name, std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    curve line{name, {}};
    for (int i = 0; i <= curve_intervals && !values.empty(); ++i) {
        const std::size_t index =
            std::min(values.size() - 1, values.size() * static_cast<std::size_t>(i) / curve_intervals);
        line.points.emplace_back(values[index], static_cast<double>(i) / curve_intervals);
    }
    return line;
}

/// Returns the number of good completions by the second of their planned arrival.
curve good_per_second(const std::string& name, const std::vector<call_sample>& samples, const latency_targets& targets)
{
    std::map<int, int> per_second;
    for (const call_sample& sample : samples) {
        if (!sample.plain)
            per_second[static_cast<int>(sample.at_s)] += is_good(sample, targets) ? 1 : 0;
    }
    curve line{name, {}};
    for (const auto& [second, good] : per_second)
        line.points.emplace_back(second, good);
    return line;
}

/// Returns the number of open completions, in steps of 0.1 s.
curve open_over_time(const std::string& name, const std::vector<call_sample>& samples)
{
    std::map<int, int> changes;
    for (const call_sample& sample : samples) {
        if (sample.plain)
            continue;
        ++changes[static_cast<int>(sample.at_s * 10)];
        --changes[static_cast<int>(sample.at_s * 10 + sample.total_ms / 100)];
    }
    curve line{name, {}};
    int open = 0;
    for (const auto& [tenth, change] : changes) {
        open += change;
        line.points.emplace_back(tenth / 10.0, open);
    }
    return line;
}

std::string table_row(const std::string& name, const load_figures& figures)
{
    std::ostringstream row;
    row << "<tr><td>" << name << "</td><td>" << figures.calls << "</td><td>" << figures.good << "</td><td>"
        << figures.late << "</td><td>" << figures.refused << "</td><td>" << figures.failed << "</td><td>"
        << std::setprecision(4) << figures.goodput_per_s << "</td><td>" << figures.first_token_p50_ms << "</td><td>"
        << figures.first_token_p99_ms << "</td><td>" << figures.token_p99_ms << "</td></tr>";
    return row.str();
}

double last_arrival(const std::vector<call_sample>& samples)
{
    double last = 0;
    for (const call_sample& sample : samples)
        last = std::max(last, sample.at_s);
    return last;
}

} // namespace

double quantile(const std::vector<double>& values, double probability)
{
    namespace stats = boost::accumulators;
    if (values.empty())
        return 0;
    using tail = stats::tag::tail_quantile<stats::right>;
    stats::accumulator_set<double, stats::stats<tail>> accumulator{stats::tag::tail<stats::right>::cache_size =
                                                                       values.size()};
    for (const double value : values)
        accumulator(value);
    // tail_quantile has no value within half a sample of either end.
    const double min_probability = 0.5 / static_cast<double>(values.size());
    return stats::quantile(accumulator,
                           stats::quantile_probability = std::clamp(probability, min_probability, 1 - min_probability));
}

load_figures compute_figures(const std::vector<call_sample>& samples, const latency_targets& targets, double from_s,
                             double to_s)
{
    load_figures figures;
    std::vector<double> first;
    std::vector<double> token;
    std::vector<double> refusal;
    std::vector<double> plain;
    double tokens = 0;
    for (const call_sample& sample : samples) {
        if (sample.at_s < from_s || sample.at_s >= to_s)
            continue;
        if (sample.plain) {
            plain.push_back(sample.total_ms);
            continue;
        }
        ++figures.calls;
        tokens += sample.tokens;
        figures.calls_by_client.resize(std::max(figures.calls_by_client.size(), sample.client + 1));
        figures.good_by_client.resize(figures.calls_by_client.size());
        ++figures.calls_by_client[sample.client];
        if (is_good(sample, targets)) {
            ++figures.good;
            ++figures.good_by_client[sample.client];
        } else if (sample.whole) {
            ++figures.late;
        } else if (sample.refused) {
            ++figures.refused;
            refusal.push_back(sample.total_ms);
        } else {
            ++figures.failed;
        }
        if (sample.tokens > 0)
            first.push_back(sample.first_token_ms);
        if (sample.tokens > 1)
            token.push_back(sample.mean_token_ms);
    }
    figures.seconds = to_s - from_s;
    figures.goodput_per_s = figures.good / figures.seconds;
    figures.good_share = figures.calls == 0 ? 0 : static_cast<double>(figures.good) / figures.calls;
    figures.first_token_p50_ms = quantile(first, 0.5);
    figures.first_token_p99_ms = quantile(first, 0.99);
    figures.token_p99_ms = quantile(token, 0.99);
    figures.refusal_p50_ms = quantile(refusal, 0.5);
    figures.plain_p99_ms = quantile(plain, 0.99);
    figures.tokens_per_s = tokens / figures.seconds;
    return figures;
}

std::string to_json(const load_figures& figures, const std::vector<call_sample>& samples)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const call_sample& sample : samples) {
        rows.push_back({{"at_s", sample.at_s},
                        {"client", sample.client},
                        {"plain", sample.plain},
                        {"batch", sample.batch},
                        {"whole", sample.whole},
                        {"refused", sample.refused},
                        {"refused_not_run", sample.refused_not_run},
                        {"first_token_ms", sample.first_token_ms},
                        {"total_ms", sample.total_ms},
                        {"mean_token_ms", sample.mean_token_ms},
                        {"tokens", sample.tokens},
                        {"error_kind", sample.error_kind}});
    }
    const nlohmann::json document{{"figures",
                                   {{"calls", figures.calls},
                                    {"good", figures.good},
                                    {"late", figures.late},
                                    {"refused", figures.refused},
                                    {"failed", figures.failed},
                                    {"goodput_per_s", figures.goodput_per_s},
                                    {"first_token_p50_ms", figures.first_token_p50_ms},
                                    {"first_token_p99_ms", figures.first_token_p99_ms},
                                    {"token_p99_ms", figures.token_p99_ms}}},
                                  {"samples", rows}};
    return document.dump(1);
}

result<std::vector<call_sample>> samples_from_json(const std::string& text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object() || !json.contains("samples") || !json["samples"].is_array())
        return fail(error_kind::bad_request, "the file isn't a run of radishstep-load",
                    "give a file written with --json");
    std::vector<call_sample> samples;
    for (const auto& row : json["samples"]) {
        if (!row.is_object())
            return fail(error_kind::bad_request, "a sample isn't a JSON object", "give a file written with --json");
        call_sample sample;
        sample.at_s = row.value("at_s", 0.0);
        sample.client = row.value("client", std::size_t{0});
        sample.plain = row.value("plain", false);
        sample.batch = row.value("batch", false);
        sample.whole = row.value("whole", false);
        sample.refused = row.value("refused", false);
        sample.refused_not_run = row.value("refused_not_run", false);
        sample.first_token_ms = row.value("first_token_ms", 0.0);
        sample.total_ms = row.value("total_ms", 0.0);
        sample.mean_token_ms = row.value("mean_token_ms", 0.0);
        sample.tokens = row.value("tokens", 0);
        sample.error_kind = row.value("error_kind", "");
        samples.push_back(std::move(sample));
    }
    return samples;
}

std::string make_html_page(const std::map<std::string, std::vector<call_sample>>& runs, const latency_targets& targets)
{
    std::string rows;
    std::vector<curve> first;
    std::vector<curve> token;
    std::vector<curve> good;
    std::vector<curve> open;
    for (const auto& [name, samples] : runs) {
        rows += table_row(name, compute_figures(samples, targets, 0, last_arrival(samples) + 1e-6));
        std::vector<double> first_ms;
        std::vector<double> token_ms;
        for (const call_sample& sample : samples) {
            if (sample.tokens > 0)
                first_ms.push_back(sample.first_token_ms);
            if (sample.tokens > 1)
                token_ms.push_back(sample.mean_token_ms);
        }
        first.push_back(cumulative_distribution(name, first_ms));
        token.push_back(cumulative_distribution(name, token_ms));
        good.push_back(good_per_second(name, samples, targets));
        open.push_back(open_over_time(name, samples));
    }
    return "<!doctype html><meta charset='utf-8'><title>radishstep-load</title><style>body{font:14px sans-serif}"
           "td,th{padding:2px 8px;text-align:right}</style><h1>radishstep-load</h1><table><tr><th>run<th>calls"
           "<th>good<th>late<th>refused<th>failed<th>good/s<th>first token p50 ms<th>p99 ms<th>token p99 ms</tr>" +
           rows + "</table>" + plot("Time to first token, cumulative", "ms", first) +
           plot("Mean time between tokens, cumulative", "ms", token) +
           plot("Good requests by second of arrival", "s", good) + plot("Open requests", "s", open);
}

} // namespace radishstep::load
