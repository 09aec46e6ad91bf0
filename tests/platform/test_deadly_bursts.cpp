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

/// An idempotent request that crashes each endpoint which runs it and comes several times at once, at all hosts.
class test_deadly_bursts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_deadly_bursts);
    CPPUNIT_TEST(request_that_has_crashed_three_endpoints_reaches_three_more_at_most);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr int endpoint_count = 16;
    static constexpr std::size_t host_count = 2;
    static constexpr unsigned status_ok = 200;
    static constexpr unsigned status_unavailable = 503;
    /// How long hosts may go on after the third crash.
    static constexpr milliseconds time_to_learn{3'000};
    static constexpr int max_further_calls = 3;

    void setUp() override
    {
        this->site = std::make_unique<platform_site>(endpoint_count, 0, 1, static_cast<int>(host_count));
        for (std::size_t host = 0; host < host_count; ++host) {
            this->site->start_gateway(host);
            CPPUNIT_ASSERT(this->site->wait_until_ready(5s, host));
        }
        for (auto& [id, engine] : this->site->engines)
            engine->set_deadly_request([](const http::request& request) { return request.body == "deadly"; });
    }

    void tearDown() override { this->site.reset(); }

    site_response call(const std::string& id, const std::string& body, std::size_t host)
    {
        site_request request;
        request.id = id;
        request.body = body;
        return asio::co_spawn(this->site->io, call_gateway(this->site->callers_address(host), request),
                              asio::use_future)
            .get();
    }

    /// Sends the deadly request this often at once, at the hosts in turn, and ends the registrations of the endpoints
    /// that crash, as the platform does after some missed heartbeats.
    void send_burst(const std::string& name, std::size_t count)
    {
        std::vector<std::future<site_response>> answers;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string id = name + "-" + std::to_string(i);
            answers.push_back(
                std::async(std::launch::async, [this, id, i] { return this->call(id, "deadly", i % host_count); }));
        }
        for (auto& answer : answers)
            CPPUNIT_ASSERT(answer.get().status != status_ok);
        std::this_thread::sleep_for(500ms);
        for (const auto& [id, engine] : this->site->engines) {
            if (engine->has_crashed())
                this->site->store->remove(engine->key());
        }
    }

    /// Returns when endpoints got the deadly request, in order.
    std::vector<time_point> deadly_calls() const
    {
        std::vector<time_point> received;
        for (const auto& [name, engine] : this->site->engines) {
            for (const auto& call : engine->calls()) {
                if (call.request.body == "deadly")
                    received.push_back(call.received_at);
            }
        }
        std::ranges::sort(received);
        return received;
    }

    // Failure: endpoints that one request crashed within 200 ms counted as one crash, and as its quarantine ended, all
    // hosts sent all attempts at once.
    void request_that_has_crashed_three_endpoints_reaches_three_more_at_most()
    {
        this->send_burst("first", host_count);
        CPPUNIT_ASSERT(this->deadly_calls().size() >= 3);
        const time_point third_crash = this->deadly_calls()[2];
        std::this_thread::sleep_until(third_crash + time_to_learn + 200ms);
        this->send_burst("second", 1);
        constexpr milliseconds time_between_bursts{5'200};
        std::this_thread::sleep_for(time_between_bursts);
        this->send_burst("third", 2 * host_count);
        this->send_burst("fourth", 2 * host_count);
        const auto received = this->deadly_calls();
        const auto further =
            std::ranges::count_if(received, [third_crash](time_point at) { return at > third_crash + time_to_learn; });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(further) + " further calls", further <= max_further_calls);
        for (std::size_t host = 0; host < host_count; ++host) {
            CPPUNIT_ASSERT_EQUAL(status_unavailable, this->call("last-" + std::to_string(host), "deadly", host).status);
            CPPUNIT_ASSERT_EQUAL(status_ok, this->call("sound-" + std::to_string(host), "sound", host).status);
        }
        CPPUNIT_ASSERT_EQUAL(received.size(), this->deadly_calls().size());
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_deadly_bursts);

} // namespace
