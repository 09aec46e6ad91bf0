#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include "platform_site.h"

namespace {

namespace asio = boost::asio;

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

/// Engines that crash as they start the answer to a prompt with one certain part.
class test_crashing_prompts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_crashing_prompts);
    CPPUNIT_TEST(prompt_part_that_crashes_engines_is_refused_by_all_hosts);
    CPPUNIT_TEST(resets_by_running_engines_refuse_no_prompt);
    CPPUNIT_TEST(quarantine_outlives_a_restart_of_the_hosts_that_saw_the_crashes);
    CPPUNIT_TEST(host_that_heard_of_the_crashes_informs_all_that_restart_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr int engine_count = 8;
    static constexpr std::size_t host_count = 2;
    /// Not started by all cases; sees no crash.
    static constexpr std::size_t third_host = host_count;

    void setUp() override
    {
        this->site = std::make_unique<platform_site>(0, 0, engine_count, static_cast<int>(host_count) + 1);
        for (std::size_t host = 0; host < host_count; ++host) {
            this->site->start_gateway(host);
            CPPUNIT_ASSERT(this->site->wait_until_ready(5s, host));
        }
        for (auto& [id, engine] : this->site->engines)
            engine->set_deadly_part("dead");
    }

    void tearDown() override { this->site.reset(); }

    site_response send(const std::string& id, const std::string& parts, std::size_t host)
    {
        site_request request;
        request.path = "/stream/1";
        request.id = id;
        request.extra_headers = {{"Model", "m"}, {"Token-Count", "800,100"}, {"Prefix-Hash", parts}};
        return asio::co_spawn(this->site->io, call_gateway(this->site->callers_address(host), request),
                              asio::use_future)
            .get();
    }

    /// Sends a request with the deadly part and no part of its own in common with others; returns whether an engine
    /// crashed. The crashed engine refuses connections and then loses its registration.
    bool send_deadly(int number, std::size_t host, bool is_crash)
    {
        const std::string id = "deadly-" + std::to_string(number);
        this->last_status = this->send(id, "first:300,dead:300,own" + std::to_string(number) + ":200", host).status;
        bool has_run = false;
        for (auto& [name, engine] : this->site->engines) {
            const auto calls = engine->calls();
            if (calls.empty() || calls.back().id != id)
                continue;
            has_run = true;
            if (!is_crash)
                continue;
            engine->stop();
            this->site->store->remove(engine->key());
        }
        return has_run;
    }

    site_response send_sound(int number, std::size_t host)
    {
        const std::string text = std::to_string(number);
        return this->send("sound-" + text, "first:300,other:300,own" + text + ":200", host);
    }

    // Failure: requests with one part in their prompts crashed one engine after the other, on any host.
    void prompt_part_that_crashes_engines_is_refused_by_all_hosts()
    {
        constexpr int requests = 7;
        int crashes = 0;
        for (int i = 0; i < requests; ++i) {
            const std::size_t host = static_cast<std::size_t>(i) % host_count;
            crashes += this->send_deadly(i, host, true) ? 1 : 0;
            // Until all hosts know of the crash and of the registration that ended.
            std::this_thread::sleep_for(700ms);
            const site_response sound = this->send_sound(i, host);
            CPPUNIT_ASSERT_EQUAL(200U, sound.status);
            CPPUNIT_ASSERT(sound.is_complete);
        }
        CPPUNIT_ASSERT_EQUAL(2, crashes);
        CPPUNIT_ASSERT_EQUAL(503U, this->last_status);
    }

    void resets_by_running_engines_refuse_no_prompt()
    {
        constexpr int requests = 6;
        int runs = 0;
        for (int i = 0; i < requests; ++i) {
            runs += this->send_deadly(i, 0, false) ? 1 : 0;
            std::this_thread::sleep_for(300ms);
        }
        CPPUNIT_ASSERT_EQUAL(requests, runs);
    }

    void start_host(std::size_t host)
    {
        this->site->start_gateway(host);
        CPPUNIT_ASSERT(this->site->wait_until_ready(5s, host));
    }

    void stop_host(std::size_t host)
    {
        this->site->gateway(host)->signal(SIGTERM);
        CPPUNIT_ASSERT_EQUAL(0, this->site->gateway(host)->wait(10));
    }

    /// Lets each of the first two hosts see a crash; the third hears of both.
    void crash_one_engine_a_host()
    {
        this->start_host(third_host);
        for (std::size_t host = 0; host < host_count; ++host) {
            CPPUNIT_ASSERT(this->send_deadly(static_cast<int>(host), host, true));
            std::this_thread::sleep_for(700ms);
        }
    }

    /// Sends a deadly and a sound request to each host; returns how many of the deadly ones reached engines.
    int count_deadly_runs()
    {
        int runs = 0;
        for (std::size_t host = 0; host <= third_host; ++host) {
            const int number = 100 + static_cast<int>(host);
            runs += this->send_deadly(number, host, true) ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(200U, this->send_sound(number, host).status);
        }
        return runs;
    }

    // Failure: quarantines ended when the hosts that had seen the crashes were restarted, one after the other.
    void quarantine_outlives_a_restart_of_the_hosts_that_saw_the_crashes()
    {
        this->crash_one_engine_a_host();
        for (std::size_t host = 0; host < host_count; ++host) {
            this->stop_host(host);
            this->start_host(host);
            std::this_thread::sleep_for(1'500ms);
        }
        CPPUNIT_ASSERT_EQUAL(0, this->count_deadly_runs());
    }

    // Failure: a host that had heard of the crashes kept them to itself when all others were restarted at once.
    void host_that_heard_of_the_crashes_informs_all_that_restart_at_once()
    {
        this->crash_one_engine_a_host();
        for (std::size_t host = 0; host < host_count; ++host)
            this->site->gateway(host)->kill();
        for (std::size_t host = 0; host < host_count; ++host)
            this->start_host(host);
        std::this_thread::sleep_for(1'500ms);
        CPPUNIT_ASSERT_EQUAL(0, this->count_deadly_runs());
    }

private:
    std::unique_ptr<platform_site> site;
    unsigned last_status = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_crashing_prompts);

} // namespace
