#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/runtime_clock.h"

namespace radishstep::load {

/// What a load asks for and how it arrives.
struct load_options
{
    std::vector<std::string> entries;
    std::vector<std::string> keys;
    std::string model;
    std::uint64_t seed = 1;
    double rate = 10;
    double seconds = 10;
    /// Between these moments the rate is multiplied by surge_factor.
    double surge_from_s = 0;
    double surge_to_s = 0;
    double surge_factor = 1;
    int prompt_tokens = 600;
    int answer_tokens = 60;
    /// Spread of both lengths: each is drawn evenly from mean * (1 - spread) to mean * (1 + spread).
    double length_spread = 0.5;
    int shared_prefixes = 0;
    double batch_share = 0;
    std::string plain_path;
    double plain_rate = 0;
    std::string trace_file;

    bool operator==(const load_options&) const = default;
};

/// One call of a load, with the moment at which it arrives.
struct planned_call
{
    double at_s = 0;
    std::size_t client = 0;
    int prompt_tokens = 0;
    int answer_tokens = 0;
    int prefix = -1;
    bool batch = false;
    bool plain = false;

    bool operator==(const planned_call&) const = default;
};

/// Returns the calls of a load in the order of their arrival; the same options give the same calls.
/// With a trace file each line "seconds prompt_tokens answer_tokens" is one call.
result<std::vector<planned_call>> make_plan(const load_options& options);

/// Returns the prompt of the call with this number; the stand-in engines read the answer's length in it.
std::string prompt_of(const planned_call& call, std::size_t number);

} // namespace radishstep::load
