#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>
#include <set>

#include "base/event_log.h"
#include "fault_schedule.h"
#include "workload.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

/// Half of the streams' faults come from processes, half from engines that misbehave.
const std::vector<fault_kind> stream_faults{fault_kind::kill,          fault_kind::freeze,
                                            fault_kind::slow_engine,   fault_kind::stall_transfers,
                                            fault_kind::repeat_tokens, fault_kind::outage};

site_options stream_site()
{
    site_options options;
    options.hosts = 3;
    options.prefill = 4;
    options.decode = 6;
    options.prefill_us = 40;
    options.decode_us = 1'500;
    options.first_token_target_ms = 4'000;
    return options;
}

/// A load of streams under a seeded schedule of faults.
struct faulty_run
{
    explicit faulty_run(std::uint64_t seed, std::vector<std::string> targets, int calls, int disconnect_percent = 0,
                        const site_options& options = stream_site())
        : running(options)
    {
        this->running.start();
        fault_options wish;
        wish.kinds = stream_faults;
        wish.targets = std::move(targets);
        wish.count = 8;
        wish.last_ms = 12'000;
        const auto schedule = make_schedule(wish, this->running, seed);
        std::cout << "seed " << seed << "\n" << describe(schedule);
        load_options load;
        load.calls = calls;
        load.seed = seed;
        load.disconnect_percent = disconnect_percent;
        load.concurrent_calls = 100;
        load.pause_ms = 40;
        {
            const fault_runner faults{this->running, schedule};
            this->records = run_load(this->running, load);
        }
        this->summary = summarise(this->records);
        std::cout << describe(this->summary) << "\n";
    }

    site running;
    std::vector<call_record> records;
    load_summary summary;
};

class holds : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(holds);
    CPPUNIT_TEST(whole_answer);
    CPPUNIT_TEST(answered_once);
    CPPUNIT_TEST(refusal_is_true);
    CPPUNIT_TEST_SUITE_END();

    /// At least 5,000 streams under faults: each whole answer is byte for byte the expected text, and no
    /// stream ends without saying so unless its entry process was killed.
    void whole_answer()
    {
        int streams = 0;
        for (const std::uint64_t seed : {11U, 12U}) {
            faulty_run run{seed, {"prefill-", "decode-", "broker-"}, 2'600};
            streams += static_cast<int>(run.records.size());
            CPPUNIT_ASSERT_EQUAL(0, run.summary.wrong_text);
            CPPUNIT_ASSERT_EQUAL(0, run.summary.cut_silently);
            CPPUNIT_ASSERT_EQUAL(0, run.summary.broken);
            CPPUNIT_ASSERT(run.summary.whole > 2'000);
        }
        CPPUNIT_ASSERT(streams >= 5'000);
    }

    /// Over the time lines of all entry processes each request ends once, and callers see no more ends
    /// than they made calls.
    void answered_once()
    {
        faulty_run run{21, {"prefill-", "decode-", "broker-", "entry-"}, 1'500, 10};
        CPPUNIT_ASSERT_EQUAL(0, run.summary.wrong_text);
        std::map<std::string, int> ends;
        for (int host = 1; host <= run.running.sizes().hosts; ++host) {
            const std::string page = run.running.calls().get(run.running.entry_admin(host), "/timeline");
            for (const timeline_event& event : from_json_lines(page)) {
                if (event.kind == "answered" || event.kind == "refused")
                    ++ends[event.request];
            }
        }
        std::set<std::string> answered;
        for (const call_record& record : run.records) {
            if (record.outcome.whole)
                CPPUNIT_ASSERT_MESSAGE(record.outcome.request, answered.insert(record.outcome.request).second);
        }
        for (const auto& [request, count] : ends)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(request, 1, count);
        std::cout << "requests with one end: " << ends.size() << "\n";
    }

    /// No request that was refused as "not run" was seen by any engine, though the pool is overloaded.
    void refusal_is_true()
    {
        site_options options = stream_site();
        options.prefill = 2;
        options.decode = 2;
        options.decode_slots = 4;
        options.first_token_target_ms = 400;
        faulty_run run{31, {"prefill-", "decode-", "broker-", "entry-"}, 3'000, 5, options};
        std::set<std::string> seen;
        for (const auto& line : read_run_logs(run.running, run.running.engines()))
            seen.insert(line.at(2).substr(0, line.at(2).rfind('.')));
        int checked = 0;
        for (const call_record& record : run.records) {
            if (record.outcome.ran != "not_run" || record.outcome.request.empty())
                continue;
            ++checked;
            CPPUNIT_ASSERT_MESSAGE(record.outcome.request, !seen.contains(record.outcome.request));
        }
        std::cout << "refusals that said not_run: " << checked << ", requests seen: " << seen.size() << "\n";
        CPPUNIT_ASSERT(checked >= 100);
        CPPUNIT_ASSERT_EQUAL(0, run.summary.wrong_text);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(holds);

} // namespace
