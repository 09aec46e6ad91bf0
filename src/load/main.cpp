#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "base/settings.h"
#include "load/load_report.h"

namespace {

namespace asio = boost::asio;
using namespace radishstep;
using namespace radishstep::load;

constexpr const char* usage =
    R"(radishstep-load: sends an open-loop load to entry processes and reports latency and goodput.

Usage:
  radishstep-load compare <first> <second> [--html=FILE]
  radishstep-load [options]

Options:
  --entries=LIST        Entry addresses, IP:port, separated by commas (127.0.0.1:8080).
  --keys=LIST           Client keys, separated by commas; each call uses one at random.
  --model=NAME          Model to request.
  --rate=N              Completions a second (10).
  --seconds=N           Length of the load (10).
  --surge-from=N        Second at which the surge starts (0).
  --surge-to=N          Second at which the surge ends (0).
  --surge-percent=N     Rate within the surge, in percent (100).
  --prompt-tokens=N     Mean prompt length (600).
  --answer-tokens=N     Mean answer length (60).
  --prefixes=N          Number of shared prompt prefixes, 0 for none (0).
  --batch-percent=N     Share of batch requests (0).
  --plain-path=PATH     Path of plain calls.
  --plain-rate=N        Plain calls a second (0).
  --trace=FILE          Lines "seconds prompt_tokens answer_tokens" instead of random arrivals.
  --first-token-ms=N    Target for the first token (1100).
  --token-ms=N          Target for the mean time between tokens (70).
  --seed=N              Seed of the random draws (1).
  --json=FILE           Write figures and samples as JSON.
  --html=FILE           Write an HTML report with plots.
  --help                Show this text.)";

constexpr std::int64_t max_option_value = 1'000'000;

/// Prints `failure` and returns the exit status of the process.
int print_error(const error& failure)
{
    std::cerr << "radishstep-load: " << describe(failure) << "\n";
    return EXIT_FAILURE;
}

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream list{text};
    for (std::string part; std::getline(list, part, ',');)
        parts.push_back(part);
    return parts;
}

load_options read_options(settings_reader& reader)
{
    load_options options;
    options.entries = split(reader.text("--entries", "127.0.0.1:8080"));
    options.keys = split(reader.text("--keys", ""));
    options.model = reader.text("--model", "");
    options.rate = static_cast<double>(reader.number("--rate", 10, 1, max_option_value));
    options.seconds = static_cast<double>(reader.number("--seconds", 10, 1, max_option_value));
    options.surge_from_s = static_cast<double>(reader.number("--surge-from", 0, 0, max_option_value));
    options.surge_to_s = static_cast<double>(reader.number("--surge-to", 0, 0, max_option_value));
    options.surge_factor = static_cast<double>(reader.number("--surge-percent", 100, 1, max_option_value)) / 100;
    options.prompt_tokens = static_cast<int>(reader.number("--prompt-tokens", 600, 1, max_option_value));
    options.answer_tokens = static_cast<int>(reader.number("--answer-tokens", 60, 1, max_option_value));
    options.shared_prefixes = static_cast<int>(reader.number("--prefixes", 0, 0, max_option_value));
    options.batch_share = static_cast<double>(reader.number("--batch-percent", 0, 0, 100)) / 100;
    options.plain_path = reader.text("--plain-path", "/");
    options.plain_rate = static_cast<double>(reader.number("--plain-rate", 0, 0, max_option_value));
    options.trace_file = reader.text("--trace", "");
    options.seed = static_cast<std::uint64_t>(reader.number("--seed", 1, 0, max_option_value));
    return options;
}

void print_figures(const std::string& name, const load_figures& figures)
{
    std::cout << name << ": calls=" << figures.calls << " good=" << figures.good << " late=" << figures.late
              << " refused=" << figures.refused << " failed=" << figures.failed
              << " goodput_per_s=" << figures.goodput_per_s << " first_token_p50_ms=" << figures.first_token_p50_ms
              << " first_token_p99_ms=" << figures.first_token_p99_ms << " token_p99_ms=" << figures.token_p99_ms
              << " plain_p99_ms=" << figures.plain_p99_ms << "\n";
}

void write_file(const std::string& path, const std::string& text)
{
    if (!path.empty())
        std::ofstream{path, std::ios::binary} << text;
}

int compare(settings_reader& reader, const latency_targets& targets)
{
    std::map<std::string, std::vector<call_sample>> runs;
    for (const char* const argument : {"<first>", "<second>"}) {
        const std::string path = reader.argument(argument);
        std::ifstream file{path, std::ios::binary};
        const std::string text{std::istreambuf_iterator<char>{file}, {}};
        const auto samples = samples_from_json(text);
        if (!samples)
            return print_error(samples.error());
        runs[path] = *samples;
        print_figures(path, compute_figures(*samples, targets, 0, max_option_value));
    }
    write_file(reader.text("--html", ""), make_html_page(runs, targets));
    return EXIT_SUCCESS;
}

} // namespace

int main(int argc, char** argv)
{
    auto reader = settings_reader::parse(usage, argc, argv);
    if (!reader)
        return print_error(reader.error());
    latency_targets targets;
    targets.first_token_ms = static_cast<double>(reader->number("--first-token-ms", 1'100, 1, max_option_value));
    targets.token_ms = static_cast<double>(reader->number("--token-ms", 70, 1, max_option_value));
    const load_options options = read_options(*reader);
    if (const auto valid = reader->validate(); !valid)
        return print_error(valid.error());
    if (reader->is_given("compare"))
        return compare(*reader, targets);
    const auto plan = make_plan(options);
    if (!plan)
        return print_error(plan.error());
    asio::io_context context{1};
    http::client http_client{context.get_executor()};
    std::vector<call_sample> samples;
    auto load_task = [&]() -> asio::awaitable<void> { samples = co_await run_load(http_client, options, *plan); };
    asio::co_spawn(context, load_task, asio::detached);
    context.run();
    const load_figures figures = compute_figures(samples, targets, 0, options.seconds);
    print_figures("run", figures);
    write_file(reader->text("--json", ""), to_json(figures, samples));
    write_file(reader->text("--html", ""), make_html_page({{"run", samples}}, targets));
    return EXIT_SUCCESS;
}
