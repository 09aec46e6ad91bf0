#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

/// Configuration, endpoints, outages of the store and planned stops, with the gateway as a process.
class test_store_and_stops : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_store_and_stops);
    CPPUNIT_TEST(host_without_configuration_is_not_ready_and_refuses_truthfully);
    CPPUNIT_TEST(new_configuration_is_in_force_within_its_bound);
    CPPUNIT_TEST(older_configuration_is_never_taken);
    CPPUNIT_TEST(unknown_route_is_answered_404);
    CPPUNIT_TEST(change_behind_a_deaf_watch_is_found);
    CPPUNIT_TEST(lost_history_is_read_again);
    CPPUNIT_TEST(watch_that_a_silent_store_never_answers_is_given_up);
    CPPUNIT_TEST(watch_opened_in_a_short_silence_is_given_up);
    CPPUNIT_TEST(change_that_only_another_host_saw_is_fetched);
    CPPUNIT_TEST(draining_endpoint_gets_no_new_work);
    CPPUNIT_TEST(unusable_entry_names_no_endpoint);
    CPPUNIT_TEST(requests_are_served_while_the_store_is_away);
    CPPUNIT_TEST(entries_that_lapsed_in_an_outage_come_back);
    CPPUNIT_TEST(ended_lease_is_taken_again);
    CPPUNIT_TEST(stop_finishes_what_runs_and_closes_what_is_idle);
    CPPUNIT_TEST(hangup_reads_the_settings_and_cuts_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void start()
    {
        this->site = std::make_unique<platform_site>();
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
    }

    void tearDown() override { this->site.reset(); }

    unsigned status_of(const std::string& path, std::size_t host = 0)
    {
        site_request request;
        request.path = path;
        return this->calls.wait(call_gateway(this->site->callers_address(host), request)).status;
    }

    void host_without_configuration_is_not_ready_and_refuses_truthfully()
    {
        this->site = std::make_unique<platform_site>();
        this->site->store->set_fault(store_fault::busy);
        this->site->start_gateway();
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/plain/1") == 503U; }));
        CPPUNIT_ASSERT(!this->site->is_ready());
        this->site->store->set_fault(store_fault::none);
        CPPUNIT_ASSERT(this->site->wait_until_ready(2s));
        CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/plain/1"));
    }

    void new_configuration_is_in_force_within_its_bound()
    {
        this->start();
        CPPUNIT_ASSERT_EQUAL(404U, this->status_of("/added/1"));
        this->site->write_config(5, "/added/");
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 200U; }, 2s));
        this->site->write_config(9);
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 404U; }, 2s));
    }

    void older_configuration_is_never_taken()
    {
        this->start();
        this->site->write_config(7, "/added/");
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 200U; }, 2s));
        this->site->write_config(6);
        CPPUNIT_ASSERT(wait_until([this] { return this->site->log().find("state=config_kept") != std::string::npos; }));
        CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/added/1"));
    }

    void unknown_route_is_answered_404()
    {
        this->start();
        CPPUNIT_ASSERT_EQUAL(404U, this->status_of("/nowhere/1"));
        CPPUNIT_ASSERT_EQUAL(404U, this->status_of("/plainer/1"));
    }

    // The load pattern: a store that loses its history tells waiting watches nothing and then cuts them.
    void change_behind_a_deaf_watch_is_found()
    {
        this->start();
        this->site->store->set_fault(store_fault::deaf_watches);
        this->site->write_config(5, "/added/");
        std::this_thread::sleep_for(200ms);
        this->site->store->set_fault(store_fault::reset);
        std::this_thread::sleep_for(200ms);
        this->site->store->set_fault(store_fault::deaf_watches);
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 200U; }, 2s));
    }

    void lost_history_is_read_again()
    {
        this->start();
        this->site->store->set_fault(store_fault::deaf_watches);
        this->site->write_config(5, "/added/");
        this->site->store->compact();
        this->site->store->set_fault(store_fault::none);
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 200U; }, 2s));
    }

    // Pattern: the store falls silent, a watch begins, and the store comes back without ever answering it.
    void watch_that_a_silent_store_never_answers_is_given_up()
    {
        this->start();
        this->site->store->set_fault(store_fault::silent);
        this->site->write_config(5);
        std::this_thread::sleep_for(4s);
        this->site->store->set_fault(store_fault::none);
        this->site->write_config(7, "/added/");
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 200U; }, 5s));
    }

    // The silence lies between two renewals of the lease, so that only the watch itself can show it.
    void watch_opened_in_a_short_silence_is_given_up()
    {
        this->start();
        for (int version = 2; version <= 6; version += 2) {
            this->site->write_config(version);
            std::this_thread::sleep_for(100ms);
            this->site->store->set_fault(store_fault::silent);
            std::this_thread::sleep_for(400ms);
            this->site->store->set_fault(store_fault::none);
            const std::string added = "/added-" + std::to_string(version) + "/";
            this->site->write_config(version + 1, added);
            CPPUNIT_ASSERT(wait_until([&] { return this->status_of(added + "1") == 200U; }, 3s));
        }
    }

    void change_that_only_another_host_saw_is_fetched()
    {
        this->site = std::make_unique<platform_site>(2, 1, 2, 2);
        for (std::size_t host = 0; host < 2; ++host) {
            this->site->start_gateway(host);
            CPPUNIT_ASSERT(this->site->wait_until_ready(5s, host));
        }
        // Both have waited for news for longer than their first watches.
        std::this_thread::sleep_for(2s);
        this->site->store->swallow_watch("op/config");
        this->site->write_config(2, "/added/");
        for (std::size_t host = 0; host < 2; ++host) {
            const auto is_in_force = [&] { return this->status_of("/added/1", host) == 200U; };
            CPPUNIT_ASSERT(wait_until(is_in_force, 3s));
        }
    }

    void draining_endpoint_gets_no_new_work()
    {
        this->start();
        standin_engine& leaving = this->site->engine("p0");
        this->site->store->put(leaving.key(), leaving.entry("draining"));
        std::this_thread::sleep_for(500ms);
        const std::size_t before = leaving.calls().size();
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/plain/1"));
        CPPUNIT_ASSERT_EQUAL(before, leaving.calls().size());
        this->site->store->remove(this->site->engine("p1").key());
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/plain/1") == 503U; }, 2s));
    }

    void unusable_entry_names_no_endpoint()
    {
        this->start();
        this->site->store->put("servers/odd", R"({"service":"app","address":7})");
        this->site->store->put("servers/odder", "no document");
        standin_engine& first = this->site->engine("p0");
        this->site->store->put(first.key(), first.entry("resting"));
        std::this_thread::sleep_for(500ms);
        const std::size_t before = first.calls().size();
        for (int i = 0; i < 6; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/plain/1"));
        CPPUNIT_ASSERT_EQUAL(before, first.calls().size());
    }

    void requests_are_served_while_the_store_is_away()
    {
        this->start();
        this->site->store->set_fault(store_fault::reset);
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/plain/1"));
            std::this_thread::sleep_for(50ms);
        }
        CPPUNIT_ASSERT(this->site->is_ready());
    }

    void entries_that_lapsed_in_an_outage_come_back()
    {
        this->start();
        this->site->store->set_fault(store_fault::reset);
        CPPUNIT_ASSERT(wait_until(
            [this] { return this->site->log().find("keyvalue_lost prefix=servers/") != std::string::npos; }));
        for (const auto& [id, engine] : this->site->engines)
            this->site->store->remove(engine->key());
        this->site->store->set_fault(store_fault::none);
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/plain/1"));
            std::this_thread::sleep_for(50ms);
        }
        this->site->store->put(this->site->engine("p1").key(), this->site->engine("p1").entry());
        CPPUNIT_ASSERT(wait_until(
            [this] { return this->site->log().find("state=endpoint_gone endpoint=p0") != std::string::npos; }, 5s));
        CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/plain/1"));
    }

    void ended_lease_is_taken_again()
    {
        this->start();
        CPPUNIT_ASSERT(wait_until([this] { return this->site->store->keys("radishstep/hosts/").size() == 1; }));
        this->site->store->end_leases();
        CPPUNIT_ASSERT(wait_until([this] { return this->site->store->keys("radishstep/hosts/").size() == 1; }, 5s));
    }

    void stop_finishes_what_runs_and_closes_what_is_idle()
    {
        this->start();
        this->site->engine("p0").set_work_time(1500ms);
        this->site->engine("p1").set_work_time(1500ms);
        auto running = std::async(std::launch::async, [this] {
            caller other;
            return this->status_of("/once/1");
        });
        std::this_thread::sleep_for(200ms);
        this->site->gateway()->signal(SIGTERM);
        CPPUNIT_ASSERT(wait_until([this] { return !this->site->is_ready(); }, 500ms));
        CPPUNIT_ASSERT_EQUAL(200U, running.get());
        constexpr int grace_seconds = 8;
        CPPUNIT_ASSERT_EQUAL(0, this->site->gateway()->wait(grace_seconds));
    }

    void hangup_reads_the_settings_and_cuts_nothing()
    {
        this->start();
        this->site->gateway()->signal(SIGHUP);
        CPPUNIT_ASSERT(
            wait_until([this] { return this->site->log().find("state=settings_applied") != std::string::npos; }));
        CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/plain/1"));
        CPPUNIT_ASSERT(this->site->is_ready());
    }

private:
    caller calls;
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_store_and_stops);

} // namespace
