#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>
#include <set>

#include "fault_schedule.h"
#include "workload.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

/// What came of all tries with one idempotency key.
struct key_history
{
    int answered = 0;
    int may_have_run = 0;
    int not_run = 0;
    int runs = 0;
};

class holds_calls : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(holds_calls);
    CPPUNIT_TEST(non_idempotent_at_most_once);
    CPPUNIT_TEST(poison_takes_two_endpoints);
    CPPUNIT_TEST_SUITE_END();

    /// At least 2,000 non-idempotent calls, many of them sent again through another host, while
    /// services, entries and brokers die or freeze and the key-value service is down, slow or loses
    /// answers: no key ran twice, by the services' own count, and no "not run" was false.
    void non_idempotent_at_most_once()
    {
        int calls = 0;
        for (const std::uint64_t seed : {51U, 52U}) {
            site_options options;
            options.hosts = 3;
            options.services = 3;
            site running{options};
            running.start();
            fault_options wish;
            wish.kinds = {fault_kind::kill,       fault_kind::freeze,      fault_kind::outage,
                          fault_kind::slow_store, fault_kind::lost_answer, fault_kind::lost_answer};
            wish.targets = {"service-", "entry-", "broker-"};
            wish.count = 10;
            wish.last_ms = 9'000;
            const auto schedule = make_schedule(wish, running, seed);
            std::cout << "seed " << seed << "\n" << describe(schedule);
            load_options load;
            load.calls = 1'100;
            load.concurrent_calls = 25;
            load.seed = seed;
            load.plain = true;
            load.resend_percent = 30;
            load.pause_ms = 100;
            std::vector<call_record> records;
            {
                const fault_runner faults{running, schedule};
                records = run_load(running, load);
            }
            calls += load.calls;
            std::cout << describe(summarise(records)) << "\n";
            this->check_keys(running, records);
        }
        CPPUNIT_ASSERT(calls >= 2'000);
    }

    void check_keys(const site& running, const std::vector<call_record>& records)
    {
        std::map<std::string, key_history> keys;
        for (const call_record& record : records) {
            key_history& history = keys[record.key];
            history.answered += record.outcome.whole ? 1 : 0;
            history.may_have_run += record.outcome.ran == "may_have_run" ? 1 : 0;
            history.not_run += record.outcome.ran == "not_run" ? 1 : 0;
        }
        std::set<std::string> requests_run;
        for (const auto& line : read_run_logs(running, running.services())) {
            ++keys[line.at(3)].runs;
            requests_run.insert(line.at(2));
        }
        int run_once = 0;
        for (const auto& [key, history] : keys) {
            CPPUNIT_ASSERT_MESSAGE(key, history.runs <= 1);
            CPPUNIT_ASSERT_MESSAGE(key, history.answered == 0 || history.runs == 1);
            run_once += history.runs;
        }
        int true_refusals = 0;
        for (const call_record& record : records) {
            if (record.outcome.ran != "not_run")
                continue;
            ++true_refusals;
            CPPUNIT_ASSERT_MESSAGE(record.outcome.request, !requests_run.contains(record.outcome.request));
        }
        std::cout << "keys=" << keys.size() << " run_once=" << run_once
                  << " run_twice=0 not_run_refusals=" << true_refusals << " false_not_run=0\n";
    }

    /// A prompt that stops every engine that runs it, sent again and again through all hosts, takes down
    /// two engines at most.
    void poison_takes_two_endpoints()
    {
        for (const std::string& marker : {std::string{"CRASH-ENGINE"}, std::string{"CRASH-DECODE"}}) {
            site_options options;
            options.hosts = 3;
            options.prefill = 4;
            options.decode = 4;
            site running{options};
            running.start();
            std::map<std::string, int> kinds;
            for (int i = 0; i < 12; ++i) {
                completion_call wish;
                wish.address = running.entry(1 + i % 3);
                wish.prompt = "len:8 " + marker;
                ++kinds[running.calls().wait(running.calls().complete(wish)).error_kind];
            }
            int stopped = 0;
            for (const std::string& name : running.engines())
                stopped += running.at(name).is_running() ? 0 : 1;
            for (const auto& [kind, count] : kinds)
                std::cout << kind << "=" << count << " ";
            std::cout << marker << ": engines stopped " << stopped << ", refused as poison " << kinds["poison_request"]
                      << " of 12\n";
            if (stopped > 2)
                std::cout << running.ctl({"timeline"});
            CPPUNIT_ASSERT(stopped <= 2);
            CPPUNIT_ASSERT(kinds["poison_request"] >= 11);
            completion_call healthy;
            healthy.address = running.entry(2);
            healthy.prompt = "len:8 healthy";
            CPPUNIT_ASSERT(running.calls().wait(running.calls().complete(healthy)).whole);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(holds_calls);

} // namespace
