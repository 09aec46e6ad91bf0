#include "load/load_plan.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

namespace radishstep::load {

namespace {

constexpr int bytes_per_token = 4;
constexpr std::size_t prefix_bytes = 256;

int draw_length(int mean, double spread, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> factor{1 - spread, 1 + spread};
    return std::max(1, static_cast<int>(mean * factor(random)));
}

double arrival_rate_at(const load_options& options, double at_s)
{
    const bool in_surge = at_s >= options.surge_from_s && at_s < options.surge_to_s;
    return options.rate * (in_surge ? options.surge_factor : 1.0);
}

planned_call draw_call(const load_options& options, double at_s, std::mt19937_64& random)
{
    planned_call call;
    call.at_s = at_s;
    call.client = random() % std::max<std::size_t>(options.keys.size(), 1);
    call.prompt_tokens = draw_length(options.prompt_tokens, options.length_spread, random);
    call.answer_tokens = draw_length(options.answer_tokens, options.length_spread, random);
    if (options.shared_prefixes > 0)
        call.prefix = static_cast<int>(random() % static_cast<std::uint64_t>(options.shared_prefixes));
    std::uniform_real_distribution<double> uniform{0, 1};
    call.batch = uniform(random) < options.batch_share;
    return call;
}

std::vector<planned_call> draw_plain_calls(const load_options& options)
{
    std::vector<planned_call> calls;
    if (options.plain_rate <= 0)
        return calls;
    std::mt19937_64 random{options.seed + 1};
    std::exponential_distribution<double> gap{options.plain_rate};
    for (double at_s = gap(random); at_s < options.seconds; at_s += gap(random)) {
        planned_call call;
        call.at_s = at_s;
        call.client = random() % std::max<std::size_t>(options.keys.size(), 1);
        call.plain = true;
        calls.push_back(call);
    }
    return calls;
}

result<std::vector<planned_call>> read_trace(const load_options& options)
{
    std::ifstream file{options.trace_file};
    if (!file)
        return fail(error_kind::bad_setting, "cannot read the trace file " + options.trace_file, "check the path");
    std::vector<planned_call> calls;
    std::size_t number = 0;
    for (std::string line; std::getline(file, line);) {
        ++number;
        std::istringstream fields{line};
        planned_call call;
        if (!(fields >> call.at_s >> call.prompt_tokens >> call.answer_tokens) || call.at_s < 0 ||
            call.prompt_tokens < 1 || call.answer_tokens < 1) {
            return fail(error_kind::bad_setting, options.trace_file + ":" + std::to_string(number) + ": invalid call",
                        "write: seconds prompt_tokens answer_tokens (seconds from 0, tokens from 1)");
        }
        call.client = number % std::max<std::size_t>(options.keys.size(), 1);
        calls.push_back(call);
    }
    return calls;
}

} // namespace

result<std::vector<planned_call>> make_plan(const load_options& options)
{
    std::vector<planned_call> calls;
    if (!options.trace_file.empty()) {
        auto traced = read_trace(options);
        if (!traced)
            return traced;
        calls = std::move(*traced);
    } else {
        std::mt19937_64 random{options.seed};
        std::exponential_distribution<double> gap{1.0};
        // Dividing each exponential gap by the rate at its start keeps arrivals Poisson inside and outside the surge.
        double at_s = 0;
        while (true) {
            at_s += gap(random) / arrival_rate_at(options, at_s);
            if (at_s >= options.seconds)
                break;
            calls.push_back(draw_call(options, at_s, random));
        }
    }
    const auto plain = draw_plain_calls(options);
    calls.insert(calls.end(), plain.begin(), plain.end());
    std::stable_sort(calls.begin(), calls.end(),
                     [](const planned_call& left, const planned_call& right) { return left.at_s < right.at_s; });
    return calls;
}

std::string make_prompt(const planned_call& call, std::size_t number)
{
    std::string prompt;
    if (call.prefix >= 0) {
        prompt = "shared prefix " + std::to_string(call.prefix) + " ";
        prompt.resize(prefix_bytes, '.');
    }
    prompt += "len:" + std::to_string(call.answer_tokens) + " call " + std::to_string(number) + " ";
    prompt.resize(std::max(prompt.size(), static_cast<std::size_t>(call.prompt_tokens) * bytes_per_token), 'x');
    return prompt;
}

} // namespace radishstep::load
