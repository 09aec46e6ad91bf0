#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

/// Configuration, endpoints, store outages and shutdown of a gateway process.
class test_store_and_shutdown : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_store_and_shutdown);
    CPPUNIT_TEST(host_without_configuration_is_not_ready_and_answers_503);
    CPPUNIT_TEST(new_configuration_is_applied_within_its_time_limit);
    CPPUNIT_TEST(older_configuration_is_never_applied);
    CPPUNIT_TEST(unknown_route_is_answered_404);
    CPPUNIT_TEST(change_missed_by_a_silent_watch_is_found_after_reconnecting);
    CPPUNIT_TEST(compacted_history_causes_a_full_read);
    CPPUNIT_TEST(watch_left_unanswered_by_a_store_outage_is_replaced);
    CPPUNIT_TEST(watch_opened_during_a_short_store_outage_is_replaced);
    CPPUNIT_TEST(change_seen_only_by_another_host_is_fetched);
    CPPUNIT_TEST(draining_endpoint_gets_no_new_work);
    CPPUNIT_TEST(endpoint_with_an_unusable_entry_gets_no_requests);
    CPPUNIT_TEST(requests_are_served_while_the_store_is_unavailable);
    CPPUNIT_TEST(entries_missing_after_an_outage_get_time_to_return);
    CPPUNIT_TEST(registration_is_renewed_after_its_lease_expires);
    CPPUNIT_TEST(sigterm_finishes_running_requests_and_exits_cleanly);
    CPPUNIT_TEST(sighup_reloads_settings_without_interruption);
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

    void host_without_configuration_is_not_ready_and_answers_503()
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

    void new_configuration_is_applied_within_its_time_limit()
    {
        this->start();
        CPPUNIT_ASSERT_EQUAL(404U, this->status_of("/added/1"));
        this->site->write_config(5, "/added/");
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 200U; }, 2s));
        this->site->write_config(9);
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 404U; }, 2s));
    }

    void older_configuration_is_never_applied()
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

    // A store that loses its history returns no changes to waiting watches and then resets their connections.
    void change_missed_by_a_silent_watch_is_found_after_reconnecting()
    {
        this->start();
        this->site->store->set_fault(store_fault::silent_watches);
        this->site->write_config(5, "/added/");
        std::this_thread::sleep_for(200ms);
        this->site->store->set_fault(store_fault::reset);
        std::this_thread::sleep_for(200ms);
        this->site->store->set_fault(store_fault::silent_watches);
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 200U; }, 2s));
    }

    void compacted_history_causes_a_full_read()
    {
        this->start();
        this->site->store->set_fault(store_fault::silent_watches);
        this->site->write_config(5, "/added/");
        this->site->store->compact();
        this->site->store->set_fault(store_fault::none);
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 200U; }, 2s));
    }

    // A watch that is opened during a store outage may stay unanswered after the store has recovered.
    void watch_left_unanswered_by_a_store_outage_is_replaced()
    {
        this->start();
        this->site->store->set_fault(store_fault::unresponsive);
        this->site->write_config(5);
        std::this_thread::sleep_for(4s);
        this->site->store->set_fault(store_fault::none);
        this->site->write_config(7, "/added/");
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/added/1") == 200U; }, 5s));
    }

    // The outage lies between two lease renewals, so that only the watch itself can detect it.
    void watch_opened_during_a_short_store_outage_is_replaced()
    {
        this->start();
        for (int version = 2; version <= 6; version += 2) {
            this->site->write_config(version);
            std::this_thread::sleep_for(100ms);
            this->site->store->set_fault(store_fault::unresponsive);
            std::this_thread::sleep_for(400ms);
            this->site->store->set_fault(store_fault::none);
            const std::string added = "/added-" + std::to_string(version) + "/";
            this->site->write_config(version + 1, added);
            CPPUNIT_ASSERT(wait_until([&] { return this->status_of(added + "1") == 200U; }, 3s));
        }
    }

    void change_seen_only_by_another_host_is_fetched()
    {
        this->site = std::make_unique<platform_site>(2, 1, 2, 2);
        for (std::size_t host = 0; host < 2; ++host) {
            this->site->start_gateway(host);
            CPPUNIT_ASSERT(this->site->wait_until_ready(5s, host));
        }
        // Both hosts have waited for changes longer than the timeout of their first watches.
        std::this_thread::sleep_for(2s);
        this->site->store->abandon_watch("op/config");
        this->site->write_config(2, "/added/");
        for (std::size_t host = 0; host < 2; ++host) {
            const auto is_in_force = [&] { return this->status_of("/added/1", host) == 200U; };
            CPPUNIT_ASSERT(wait_until(is_in_force, 3s));
        }
    }

    void draining_endpoint_gets_no_new_work()
    {
        this->start();
        standin_engine& draining = this->site->engine("p0");
        this->site->store->put(draining.key(), draining.entry("draining"));
        std::this_thread::sleep_for(500ms);
        const std::size_t before = draining.calls().size();
        for (int i = 0; i < 10; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/plain/1"));
        CPPUNIT_ASSERT_EQUAL(before, draining.calls().size());
        this->site->store->remove(this->site->engine("p1").key());
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/plain/1") == 503U; }, 2s));
    }

    void endpoint_with_an_unusable_entry_gets_no_requests()
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

    void requests_are_served_while_the_store_is_unavailable()
    {
        this->start();
        this->site->store->set_fault(store_fault::reset);
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(200U, this->status_of("/plain/1"));
            std::this_thread::sleep_for(50ms);
        }
        CPPUNIT_ASSERT(this->site->is_ready());
    }

    void entries_missing_after_an_outage_get_time_to_return()
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

    void registration_is_renewed_after_its_lease_expires()
    {
        this->start();
        CPPUNIT_ASSERT(wait_until([this] { return this->site->store->keys("radishstep/hosts/").size() == 1; }));
        this->site->store->end_leases();
        CPPUNIT_ASSERT(wait_until([this] { return this->site->store->keys("radishstep/hosts/").size() == 1; }, 5s));
    }

    void sigterm_finishes_running_requests_and_exits_cleanly()
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

    void sighup_reloads_settings_without_interruption()
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

CPPUNIT_TEST_SUITE_REGISTRATION(test_store_and_shutdown);

} // namespace
