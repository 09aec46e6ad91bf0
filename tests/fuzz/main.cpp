#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <iterator>
#include <random>

#include "../platform/fuzz_decoders.h"
#include "targets.h"

namespace {

using namespace radishstep::testing;

constexpr int inputs_per_target = 20'000;
constexpr std::uint64_t seed = 1;
constexpr int most_changes = 6;

/// Changes, removes, doubles or swaps in a few bytes.
std::string mutate(std::string bytes, const std::vector<std::string>& seeds, std::mt19937_64& random)
{
    const auto changes = 1 + random() % most_changes;
    for (std::uint64_t i = 0; i < changes; ++i) {
        const std::size_t at = bytes.empty() ? 0 : random() % bytes.size();
        switch (random() % 5) {
        case 0:
            bytes.insert(at, 1, static_cast<char>(random()));
            break;
        case 1:
            bytes.erase(at, random() % 4);
            break;
        case 2:
            if (!bytes.empty())
                bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random() % 8)));
            break;
        case 3:
            bytes.insert(at, bytes.substr(at, random() % 16));
            break;
        default: {
            const std::string& other = seeds[random() % seeds.size()];
            bytes.replace(at, random() % 8, other.substr(random() % other.size(), random() % 16));
            break;
        }
        }
    }
    return bytes;
}

} // namespace

/// Feeds each parser a bounded number of seeded mutations; it passes when nothing crashes or throws.
int main()
{
    std::mt19937_64 random{seed};
    std::vector<fuzz_target> targets = fuzz_targets();
    std::ranges::move(platform_fuzz_targets(), std::back_inserter(targets));
    for (const fuzz_target& target : targets) {
        std::string current = target.seeds.front();
        for (int i = 0; i < inputs_per_target; ++i) {
            if (i % 20 == 0)
                current = target.seeds[random() % target.seeds.size()];
            current = mutate(current, target.seeds, random);
            target.parse(current);
        }
        std::cout << target.name << ": " << inputs_per_target << " inputs, seed " << seed << "\n";
    }
    return EXIT_SUCCESS;
}
