#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/runtime_clock.h"

namespace radishstep::load {

/// The requests of a load and their arrival process.
struct load_options
{
    /// Addresses of the entry processes, used in turn.
    std::vector<std::string> entries;
    /// Keys of the client accounts; without any, calls carry no Authorization header.
    std::vector<std::string> keys;
    std::string model;
    std::uint64_t seed = 1;
    /// Mean arrival rate of completions, per second.
    double rate = 10;
    double seconds = 10;
    /// From surge_from_s to before surge_to_s the rate is multiplied by surge_factor.
    double surge_from_s = 0;
    double surge_to_s = 0;
    double surge_factor = 1;
    int prompt_tokens = 600;
    int answer_tokens = 60;
    /// Prompt and answer lengths are uniform between mean * (1 - length_spread) and mean * (1 + length_spread).
    double length_spread = 0.5;
    /// Number of distinct prompt prefixes that calls share; 0 for none.
    int shared_prefixes = 0;
    /// Fraction of completions with batch priority.
    double batch_share = 0;
    std::string plain_path;
    /// Mean arrival rate of plain calls, per second; 0 for none.
    double plain_rate = 0;
    std::string trace_file;

    bool operator==(const load_options&) const = default;
};

/// One call of a load. Its arrival time counts from the start of the load.
struct planned_call
{
    double at_s = 0;
    /// Index into load_options::keys.
    std::size_t client = 0;
    int prompt_tokens = 0;
    int answer_tokens = 0;
    /// Number of the shared prompt prefix; -1 for none.
    int prefix = -1;
    bool batch = false;
    bool plain = false;

    bool operator==(const planned_call&) const = default;
};

/// Returns the calls of a load in order of arrival; the same options give the same calls.
/// With a trace file, completions come from its lines ("seconds prompt_tokens answer_tokens") instead of random draws.
result<std::vector<planned_call>> make_plan(const load_options& options);

/// Returns the prompt of call `number`. It states the answer length ("len:N"), which the stand-in engines read.
std::string make_prompt(const planned_call& call, std::size_t number);

} // namespace radishstep::load
