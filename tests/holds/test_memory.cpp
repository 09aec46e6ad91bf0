#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>
#include <thread>

#include "fault_schedule.h"
#include "workload.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

/// The users' bound on memory that is held for a request that is gone.
constexpr std::chrono::seconds release_bound{5};

class holds_memory : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(holds_memory);
    CPPUNIT_TEST(engine_memory_released);
    CPPUNIT_TEST_SUITE_END();

    /// Callers leave, entry and broker processes die, alone and together, and answers are long: 5 s
    /// after the last of it no engine holds a job.
    void engine_memory_released()
    {
        for (const std::uint64_t seed : {41U, 42U, 43U}) {
            site_options options;
            options.hosts = 3;
            options.prefill = 3;
            options.decode = 3;
            options.decode_us = 20'000;
            options.prefill_us = 1'000;
            site running{options};
            running.start();
            load_options load;
            load.calls = 60;
            load.concurrent_calls = 30;
            load.seed = seed;
            load.disconnect_percent = 50;
            load.max_tokens = 400;
            run_load(running, load);
            this->strand_requests(running, seed);
            const auto last = std::chrono::steady_clock::now();
            const std::size_t held_at_once = running.held_jobs().size();
            while (!running.held_jobs().empty() && std::chrono::steady_clock::now() < last + release_bound)
                std::this_thread::sleep_for(std::chrono::milliseconds{50});
            const auto took = std::chrono::steady_clock::now() - last;
            const auto left = running.held_jobs();
            std::cout << "seed " << seed << ": held after the kills " << held_at_once << ", after "
                      << std::chrono::duration_cast<std::chrono::milliseconds>(took).count() << " ms " << left.size()
                      << "\n";
            CPPUNIT_ASSERT_MESSAGE(left.empty() ? "" : left.front(), left.empty());
        }
    }

    /// Starts long answers through all hosts and kills, while they run, the entry of a host and, by seed,
    /// the broker that owns the pool or an entry that is frozen.
    void strand_requests(site& running, std::uint64_t seed)
    {
        caller others;
        std::vector<std::future<call_outcome>> open;
        for (int i = 0; i < 24; ++i) {
            completion_call wish;
            wish.address = running.entry(1 + i % 3);
            wish.prompt = "len:2000 stranded " + std::to_string(i);
            wish.max_tokens = 2'000;
            open.push_back(others.start(others.complete(wish)));
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{seed == 42 ? 60 : 800});
        const int owner = running.owner_of_pool();
        if (seed == 43)
            running.at("broker-" + std::to_string(owner)).kill();
        for (int host = 1; host <= 3; ++host) {
            const std::string entry = "entry-" + std::to_string(host);
            if (seed == 42 && host == 1)
                running.at(entry).signal(SIGSTOP);
            else
                running.at(entry).kill();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(holds_memory);

} // namespace
