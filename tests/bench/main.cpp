#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <string>

#include "bench_site.h"
#include "cost_bench.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

const std::vector<std::string> baselines{"round_robin", "least_reported", "power_of_two"};

/// Prints one figure a line and remembers whether one missed its bound.
class figure_printer
{
public:
    void at_most(const std::string& name, double value, const std::string& unit, double bound)
    {
        this->print(name, value, unit, "<=" + number(bound), value <= bound);
    }

    void at_least(const std::string& name, double value, const std::string& unit, double bound)
    {
        this->print(name, value, unit, ">=" + number(bound), value >= bound);
    }

    void plain(const std::string& name, double value, const std::string& unit)
    {
        std::cout << name << " " << number(value) << " " << unit << " - -\n" << std::flush;
    }

    bool all_met() const { return this->met; }

private:
    static std::string number(double value)
    {
        std::ostringstream text;
        text << std::setprecision(4) << value;
        return text.str();
    }

    void print(const std::string& name, double value, const std::string& unit, const std::string& bound, bool ok)
    {
        std::cout << name << " " << number(value) << " " << unit << " " << bound << " " << (ok ? "ok" : "FAIL") << "\n"
                  << std::flush;
        this->met = this->met && ok;
    }

    bool met = true;
};

/// The runs of one deployment.
class deployment_bench
{
public:
    deployment_bench(deployment place, figure_printer& out, bool quick)
        : place(std::move(place)), out(out), seconds(quick ? 6 : 10), quick(quick)
    {
    }

    void run()
    {
        this->out.plain(this->name("capacity"), capacity_of(this->place), "requests/s");
        this->near_capacity();
        this->over_capacity();
        this->crest();
        this->slow_engines();
    }

    std::map<std::string, std::vector<load::call_sample>> runs;

private:
    std::string name(const std::string& figure) const { return this->place.name + "." + figure; }

    std::vector<std::string> compared() const
    {
        return this->quick ? std::vector<std::string>{"power_of_two"} : baselines;
    }

    bench_result run(const std::string& label, bench_case wanted)
    {
        wanted.seconds = wanted.seconds > 0 ? wanted.seconds : this->seconds;
        bench_result result = run_case(this->place, wanted);
        const load::load_figures& all = result.all;
        std::cout << "# " << this->name(label) << " " << wanted.policy << ": calls=" << all.calls
                  << " good=" << all.good << " late=" << all.late << " refused=" << all.refused
                  << " failed=" << all.failed << " first_p50_ms=" << all.first_token_p50_ms
                  << " first_p99_ms=" << all.first_token_p99_ms << " token_p99_ms=" << all.token_p99_ms
                  << " waste=" << result.waste_share << "\n"
                  << std::flush;
        this->runs[this->name(label) + " " + wanted.policy] = result.samples;
        return result;
    }

    static double missed(const bench_result& result) { return 1 - result.all.good_share; }

    void near_capacity()
    {
        bench_case wanted;
        wanted.load = 0.95;
        wanted.seconds = this->seconds;
        const bench_result ours = this->run("95", wanted);
        double best_missed = 1;
        double best_waste = 1;
        for (const std::string& policy : this->compared()) {
            wanted.policy = policy;
            const bench_result other = this->run("95", wanted);
            best_missed = std::min(best_missed, missed(other));
            best_waste = std::min(best_waste, other.waste_share);
        }
        this->out.at_least(this->name("95.good_share"), ours.all.good_share, "share", 0.97);
        this->out.at_most(this->name("95.missed_to_best_baseline"), missed(ours) / std::max(best_missed, 1e-9), "ratio",
                          1.0 / 3);
        this->out.at_most(this->name("95.prefill_wasted"), ours.waste_share, "share", 0.01);
        this->out.at_most(this->name("95.waste_to_best_baseline"), ours.waste_share / std::max(best_waste, 1e-9),
                          "ratio", 0.1);
        this->unslowed = ours;
    }

    void over_capacity()
    {
        bench_case wanted;
        wanted.load = 1.1;
        wanted.seconds = this->seconds;
        const bench_result ours = this->run("110", wanted);
        double best = 0;
        for (const std::string& policy : this->compared()) {
            wanted.policy = policy;
            best = std::max(best, this->run("110", wanted).all.goodput_per_s);
        }
        const double capacity = capacity_of(this->place);
        this->out.at_least(this->name("110.goodput_to_best_baseline"), ours.all.goodput_per_s / std::max(best, 1e-9),
                           "ratio", 1.15);
        this->out.at_least(this->name("110.goodput_to_capacity"), ours.all.goodput_per_s / capacity, "ratio", 0.95);
        this->out.plain(this->name("110.offline_bound_to_capacity"),
                        std::min(1.0, ours.all.calls / (capacity * this->seconds)), "ratio");
    }

    void crest()
    {
        constexpr double base_load = 0.5;
        constexpr double from_s = 2;
        constexpr double to_s = 7;
        constexpr double recovery_s = 2;
        bench_case wanted;
        wanted.load = base_load;
        wanted.seconds = 12;
        wanted.surge_factor = 2 / base_load;
        wanted.surge_from_s = from_s;
        wanted.surge_to_s = to_s;
        wanted.plain_rate = 50;
        const bench_result ours = this->run("crest", wanted);
        const auto targets = scaled_targets();
        const auto during = load::compute_figures(ours.samples, targets, from_s, to_s);
        const auto after = load::compute_figures(ours.samples, targets, to_s + recovery_s, wanted.seconds);
        this->out.at_least(this->name("crest.goodput_to_capacity"), during.goodput_per_s / capacity_of(this->place),
                           "ratio", 0.9);
        this->out.at_most(this->name("crest.refusal_p50"), during.refusal_p50_ms, "ms", 100);
        this->out.at_least(this->name("crest.good_share_2s_after"), after.good_share, "share", 0.97);
        const auto& good = during.good_by_client;
        const double least = good.empty() ? 0 : *std::min_element(good.begin(), good.end());
        const double most = good.empty() ? 1 : *std::max_element(good.begin(), good.end());
        this->out.at_least(this->name("crest.least_to_most_served_client"), least / std::max(most, 1.0), "ratio", 0.9);
        this->out.at_most(this->name("crest.plain_lookup_p99"), during.plain_p99_ms, "ms", 5);
    }

    void slow_engines()
    {
        bench_case wanted;
        wanted.load = 0.7;
        wanted.seconds = this->seconds;
        const bench_result calm = this->run("calm70", wanted);
        wanted.slow_engines = true;
        const bench_result ours = this->run("slow70", wanted);
        double best_first = 1e9;
        double best_token = 1e9;
        for (const std::string& policy : this->compared()) {
            wanted.policy = policy;
            const bench_result other = this->run("slow70", wanted);
            best_first = std::min(best_first, other.all.first_token_p99_ms);
            best_token = std::min(best_token, other.all.token_p99_ms);
        }
        this->out.at_most(this->name("slow.first_token_p99_to_calm"),
                          ours.all.first_token_p99_ms / calm.all.first_token_p99_ms, "ratio", 1.5);
        this->out.at_most(this->name("slow.token_p99_to_calm"), ours.all.token_p99_ms / calm.all.token_p99_ms, "ratio",
                          2);
        this->out.at_most(this->name("slow.first_token_p99_to_best_baseline"), ours.all.first_token_p99_ms / best_first,
                          "ratio", 0.5);
        this->out.at_most(this->name("slow.token_p99_to_best_baseline"), ours.all.token_p99_ms / best_token, "ratio",
                          0.5);
    }

    deployment place;
    figure_printer& out;
    double seconds;
    bool quick;
    bench_result unslowed;
};

} // namespace

/// Runs the benchmarks: --quick for one deployment and one baseline, --costs for the costs alone,
/// --html=FILE for a page with plots. Exit code 1 when a figure misses its bound.
int main(int argc, char** argv)
{
    bool quick = false;
    bool costs_only = false;
    std::string html;
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        quick = quick || argument == "--quick";
        costs_only = costs_only || argument == "--costs";
        if (argument.starts_with("--html="))
            html = argument.substr(std::string{"--html="}.size());
    }
    figure_printer out;
    const cost_figures costs = measure_costs();
    out.at_least("cost.broker_permits", costs.permits_per_s, "permits/s", 20'000);
    out.at_most("cost.entry_cpu_to_bare_relay", costs.entry_event_us / costs.relay_event_us, "ratio", 2);
    out.plain("cost.entry_cpu_per_event", costs.entry_event_us, "us");
    out.plain("cost.bare_relay_per_event", costs.relay_event_us, "us");
    out.at_most("cost.entry_p50_added_to_first_token", costs.added_first_token_ms, "ms", 1);
    std::vector<deployment> places{{"gala-llm", 4, 8, 3}, {"wording-desk", 6, 12, 4}};
    if (quick)
        places.pop_back();
    std::map<std::string, std::vector<load::call_sample>> runs;
    for (const deployment& place : places) {
        if (costs_only)
            break;
        deployment_bench bench{place, out, quick};
        bench.run();
        runs.merge(bench.runs);
    }
    if (!html.empty())
        std::ofstream{html} << load::make_html_page(runs, scaled_targets());
    return out.all_met() ? EXIT_SUCCESS : EXIT_FAILURE;
}
