#include <cppunit/extensions/HelperMacros.h>

#include <signal.h>

#include <chrono>
#include <future>
#include <iostream>
#include <thread>

#include "base/event_log.h"
#include "base/hybrid_clock.h"
#include "base/runtime_clock.h"
#include "workload.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

/// The users' bound from a host's listing as leaving to its last new work.
constexpr std::int64_t leave_bound_ms = 3'000;

void sleep_ms(int span)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{span});
}

site_options stop_site()
{
    site_options options;
    options.hosts = 3;
    options.prefill = 3;
    options.decode = 3;
    options.services = 3;
    options.decode_us = 10'000;
    options.prefill_us = 40;
    options.first_token_target_ms = 8'000;
    return options;
}

class holds_stops : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(holds_stops);
    CPPUNIT_TEST(leaving_host_gets_no_work);
    CPPUNIT_TEST(planned_stop_cuts_nothing);
    CPPUNIT_TEST_SUITE_END();

    /// A router host, an engine and a service are listed as leaving under load. From 3 s after the list
    /// shows them they get nothing new, and nothing is cut.
    void leaving_host_gets_no_work()
    {
        site running{stop_site()};
        running.start();
        const int owner = running.owner_of_pool();
        const std::string router = "host-" + std::to_string(owner);
        load_options load;
        load.calls = 1'500;
        load.concurrent_calls = 30;
        load.seed = 61;
        load.pause_ms = 50;
        auto records = std::async(std::launch::async, [&] { return run_load(running, load); });
        sleep_ms(1'500);
        running.publish_hosts({router, "decode-1", "prefill-2", "service-1"});
        const std::int64_t listed_ms = wall_clock_ms() + running.sizes().host_lag_ms;
        caller lookups;
        const auto fees = this->send_fees(running, lookups, listed_ms + leave_bound_ms + 2'000);
        const load_summary summary = summarise(records.get());
        std::cout << describe(summary) << " fees=" << fees << "\n";
        CPPUNIT_ASSERT_EQUAL(load.calls, summary.whole);
        const std::int64_t bound = listed_ms + leave_bound_ms;
        int late_jobs = 0;
        int before = 0;
        for (const auto& line : read_run_logs(running, {"decode-1", "prefill-2", "service-1"})) {
            late_jobs += std::stoll(line.at(1)) > bound ? 1 : 0;
            ++before;
        }
        int late_events = 0;
        const std::string broker_page = running.calls().get(running.broker_admin(owner), "/timeline");
        for (const timeline_event& event : from_json_lines(broker_page)) {
            const auto at = static_cast<std::int64_t>(hybrid_clock::stamp_ms(event.stamp));
            late_events += event.kind == "granted" && at > bound ? 1 : 0;
        }
        std::cout << "work at leaving endpoints " << before << ", of it late " << late_jobs
                  << "; late grants of the leaving host " << late_events << "\n";
        CPPUNIT_ASSERT(before > 0);
        CPPUNIT_ASSERT_EQUAL(0, late_jobs);
        CPPUNIT_ASSERT_EQUAL(0, late_events);
        const bool still_ready = running.wait_ready(owner, 0);
        CPPUNIT_ASSERT(!still_ready);
    }

    int send_fees(site& running, caller& lookups, std::int64_t until_ms)
    {
        int sent = 0;
        while (wall_clock_ms() < until_ms) {
            http::request asked = http::get_request("/entries/heat");
            asked.lines.push_back({"Authorization", "Bearer coach-key"});
            const call_outcome outcome = lookups.wait(lookups.plain(running.entry(1), std::move(asked)));
            CPPUNIT_ASSERT_EQUAL(200U, outcome.status);
            ++sent;
            sleep_ms(10);
        }
        return sent;
    }

    /// Entry and broker of each host are stopped and started under load, twice in a row, the second time
    /// during an outage of the key-value service: no call is cut, refused or wrong.
    void planned_stop_cuts_nothing()
    {
        site running{stop_site()};
        running.start();
        load_options load;
        load.calls = 3'000;
        load.concurrent_calls = 40;
        load.seed = 62;
        load.pause_ms = 60;
        auto records = std::async(std::launch::async, [&] { return run_load(running, load); });
        caller control;
        int clean_stops = 0;
        for (int round = 0; round < 2; ++round) {
            if (round == 1)
                control.send(running.platform_address(), "POST", "/fault", R"({"outage_ms":60000})");
            for (int host = 1; host <= running.sizes().hosts; ++host)
                clean_stops += this->roll(running, control, host);
        }
        const load_summary summary = summarise(records.get());
        std::cout << describe(summary) << " clean_stops=" << clean_stops << " of 12\n";
        CPPUNIT_ASSERT_EQUAL(12, clean_stops);
        CPPUNIT_ASSERT_EQUAL(load.calls, summary.whole);
    }

    int roll(site& running, caller& control, int host)
    {
        const std::string number = std::to_string(host);
        int clean = 0;
        running.at("entry-" + number).signal(SIGTERM);
        clean += running.at("entry-" + number).wait(20) == 0 ? 1 : 0;
        running.at("broker-" + number).signal(SIGTERM);
        clean += running.at("broker-" + number).wait(20) == 0 ? 1 : 0;
        running.start_broker(host);
        running.start_entry(host);
        for (int i = 0; i < 500; ++i) {
            if (control.get(running.entry(host), "/readyz").find("true") != std::string::npos)
                break;
            sleep_ms(20);
        }
        return clean;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(holds_stops);

} // namespace
