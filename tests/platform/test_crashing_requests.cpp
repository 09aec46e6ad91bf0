#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_future.hpp>

#include "platform_site.h"

namespace {

namespace asio = boost::asio;

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

/// Whole requests that crash each endpoint that begins to run them and come again with other ids, at any host.
class test_crashing_requests : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_crashing_requests);
    CPPUNIT_TEST(idempotent_request_that_crashes_endpoints_is_refused_by_all_hosts);
    CPPUNIT_TEST(non_idempotent_request_that_crashes_endpoints_is_refused_by_all_hosts);
    CPPUNIT_TEST(request_of_one_caller_that_crashes_endpoints_is_refused_to_that_caller_alone);
    CPPUNIT_TEST(model_request_that_crashes_engines_is_refused_and_its_prompt_parts_are_not);
    CPPUNIT_TEST(sound_requests_beside_two_crashes_are_served_at_once);
    CPPUNIT_TEST(sound_request_lost_in_two_crashes_is_served_again_within_seconds);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr int endpoint_count = 8;
    static constexpr std::size_t host_count = 2;
    static constexpr int rounds = 8;
    static constexpr unsigned status_ok = 200;
    static constexpr unsigned status_unavailable = 503;

    void setUp() override
    {
        this->site = std::make_unique<platform_site>(endpoint_count, 0, endpoint_count, static_cast<int>(host_count));
        for (std::size_t host = 0; host < host_count; ++host) {
            this->site->start_gateway(host);
            CPPUNIT_ASSERT(this->site->wait_until_ready(5s, host));
        }
        for (auto& [id, engine] : this->site->engines)
            engine->set_deadly_request([](const http::request& request) { return request.body == "deadly"; });
    }

    void tearDown() override { this->site.reset(); }

    std::future<site_response> start(const site_request& request, std::size_t host)
    {
        return asio::co_spawn(this->site->io, call_gateway(this->site->callers_address(host), request),
                              asio::use_future);
    }

    int crash_count() const
    {
        return static_cast<int>(
            std::ranges::count_if(this->site->engines, [](const auto& entry) { return entry.second->has_crashed(); }));
    }

    /// Returns how often endpoints got a call with this id.
    int call_count(const std::string& id) const
    {
        int count = 0;
        for (const auto& [name, engine] : this->site->engines)
            count += static_cast<int>(std::ranges::count(engine->calls(), id, &engine_call::id));
        return count;
    }

    /// Ends the registrations of crashed endpoints, as the platform does after some missed heartbeats.
    void end_registrations()
    {
        for (const auto& [id, engine] : this->site->engines) {
            if (engine->has_crashed())
                this->site->store->remove(engine->key());
        }
    }

    /// Sends the deadly request once in each round, at the hosts in turn, and a sound one after it, which must be
    /// served. Expects that only the first few crash endpoints, and that all hosts refuse the last.
    void expect_few_crashes(site_request deadly, site_request sound, int max_crashes)
    {
        deadly.body = "deadly";
        for (int round = 0; round < rounds; ++round) {
            const std::size_t host = static_cast<std::size_t>(round) % host_count;
            deadly.id = "deadly-" + std::to_string(round);
            sound.id = "sound-" + std::to_string(round);
            const site_response answer = this->start(deadly, host).get();
            // Until all hosts know of the crash and of the registration that ended.
            this->end_registrations();
            std::this_thread::sleep_for(600ms);
            const site_response sound_answer = this->start(sound, host).get();
            CPPUNIT_ASSERT_EQUAL(status_ok, sound_answer.status);
            CPPUNIT_ASSERT(sound_answer.is_complete);
            // A refusal promises that the request has not run.
            const bool is_refused = answer.status == status_unavailable;
            CPPUNIT_ASSERT_EQUAL(is_refused, this->call_count(deadly.id) == 0);
        }
        CPPUNIT_ASSERT(this->crash_count() <= max_crashes);
        for (std::size_t host = 0; host < host_count; ++host) {
            deadly.id = "last-" + std::to_string(host);
            const site_response answer = this->start(deadly, host).get();
            CPPUNIT_ASSERT_EQUAL(status_unavailable, answer.status);
            CPPUNIT_ASSERT(answer.body.find("quarantined") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(0, this->call_count(deadly.id));
        }
    }

    // Failure: a plain request crashed two endpoints each time it came, until none was left.
    void idempotent_request_that_crashes_endpoints_is_refused_by_all_hosts()
    {
        site_request request;
        request.path = "/plain/9";
        // The first attempt asks two endpoints at once.
        constexpr int max_crashes = 4;
        this->expect_few_crashes(request, request, max_crashes);
    }

    // Failure: a plain request that may run once crashed one endpoint after the other, each time it came.
    void non_idempotent_request_that_crashes_endpoints_is_refused_by_all_hosts()
    {
        site_request request;
        request.path = "/once/9";
        constexpr int max_crashes = 3;
        this->expect_few_crashes(request, request, max_crashes);
    }

    // Failure: the same path and body of another caller were taken for the request that crashes endpoints.
    void request_of_one_caller_that_crashes_endpoints_is_refused_to_that_caller_alone()
    {
        for (auto& [id, engine] : this->site->engines)
            engine->set_deadly_request([](const http::request& request) {
                return http::find_header(request.lines, "Authorization") == "Bearer deadly";
            });
        site_request deadly;
        deadly.path = "/once/9?page=1";
        deadly.extra_headers = {{"Authorization", "Bearer deadly"}};
        site_request sound = deadly;
        sound.body = "deadly";
        sound.extra_headers = {{"Authorization", "Bearer sound"}};
        constexpr int max_crashes = 3;
        this->expect_few_crashes(deadly, sound, max_crashes);
    }

    // Failure: sound requests with the same prompt parts cleared a model request that crashed each engine.
    void model_request_that_crashes_engines_is_refused_and_its_prompt_parts_are_not()
    {
        site_request request;
        request.path = "/stream/9";
        request.extra_headers = {
            {"Model", "m"}, {"Token-Count", "800,100"}, {"Prefix-Hash", "first:300,club:300,own:200"}};
        constexpr int max_crashes = 3;
        this->expect_few_crashes(request, request, max_crashes);
    }

    // Failure: a request that many callers send was refused since two endpoints took some of them along.
    void sound_requests_beside_two_crashes_are_served_at_once()
    {
        for (auto& [id, engine] : this->site->engines)
            engine->set_work_time(300ms);
        site_request popular;
        popular.method = "GET";
        popular.body.clear();
        constexpr int calls_at_once = 16;
        for (int crash = 0; crash < 2; ++crash) {
            std::vector<std::future<site_response>> answers;
            for (int i = 0; i < calls_at_once; ++i) {
                popular.id = "popular-" + std::to_string(crash) + "-" + std::to_string(i);
                answers.push_back(this->start(popular, static_cast<std::size_t>(i) % host_count));
            }
            std::this_thread::sleep_for(150ms);
            standin_engine& endpoint = this->site->engine("p" + std::to_string(crash));
            CPPUNIT_ASSERT(endpoint.active_count() > 0);
            endpoint.crash();
            std::this_thread::sleep_for(100ms);
            this->end_registrations();
            for (auto& answer : answers)
                CPPUNIT_ASSERT_EQUAL(status_ok, answer.get().status);
        }
        for (std::size_t host = 0; host < host_count; ++host) {
            popular.id = "after-" + std::to_string(host);
            CPPUNIT_ASSERT_EQUAL(status_ok, this->start(popular, host).get().status);
        }
    }

    // Failure: a sound request that two endpoints took along, and that no answer could clear, was refused for minutes.
    void sound_request_lost_in_two_crashes_is_served_again_within_seconds()
    {
        for (auto& [id, engine] : this->site->engines)
            engine->set_work_time(400ms);
        site_request lost;
        lost.path = "/once/lost";
        for (int crash = 0; crash < 2; ++crash) {
            lost.id = "lost-" + std::to_string(crash);
            auto answer = this->start(lost, 0);
            CPPUNIT_ASSERT(wait_until([&] { return this->call_count(lost.id) > 0; }));
            for (const auto& [id, engine] : this->site->engines) {
                if (engine->active_count() > 0)
                    engine->crash();
            }
            CPPUNIT_ASSERT(answer.get().status != status_ok);
            this->end_registrations();
            std::this_thread::sleep_for(600ms);
        }
        CPPUNIT_ASSERT(wait_until([&] { return this->site->log(1).find("part_quarantined") != std::string::npos; }));
        lost.id = "refused";
        CPPUNIT_ASSERT_EQUAL(status_unavailable, this->start(lost, 1).get().status);
        int attempt = 0;
        const bool is_served = wait_until(
            [&] {
                std::this_thread::sleep_for(200ms);
                lost.id = "again-" + std::to_string(++attempt);
                return this->start(lost, 1).get().status == status_ok;
            },
            8s);
        CPPUNIT_ASSERT(is_served);
        for (std::size_t host = 0; host < host_count; ++host) {
            lost.id = "after-" + std::to_string(host);
            CPPUNIT_ASSERT_EQUAL(status_ok, this->start(lost, host).get().status);
        }
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_crashing_requests);

} // namespace
