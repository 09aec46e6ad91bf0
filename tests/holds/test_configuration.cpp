#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <thread>

#include <nlohmann/json.hpp>

#include "site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

/// The users' bound from the acceptance of a change to its being in force everywhere.
constexpr std::chrono::seconds force_bound{6};

/// Watches the configuration version of all hosts and notes each step back.
class version_watch
{
public:
    explicit version_watch(site& running) : running(running), thread([this] { this->watch(); }) {}

    ~version_watch()
    {
        this->done = true;
        this->thread.join();
    }

    version_watch(const version_watch&) = delete;
    version_watch& operator=(const version_watch&) = delete;

    /// Returns true when every host that runs has at least this version.
    bool all_have(std::int64_t version)
    {
        for (int host = 1; host <= this->running.sizes().hosts; ++host) {
            if (this->version_of(this->client, host) < version)
                return false;
        }
        return true;
    }

    bool wait_for(std::int64_t version)
    {
        const auto give_up_at = std::chrono::steady_clock::now() + force_bound;
        while (!this->all_have(version)) {
            if (std::chrono::steady_clock::now() > give_up_at)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds{20});
        }
        return true;
    }

    std::atomic<int> reverts{0};
    std::atomic<int> samples{0};

private:
    std::int64_t version_of(caller& from, int host)
    {
        const auto json = nlohmann::json::parse(from.get(this->running.broker_admin(host), "/status"), nullptr, false);
        return json.is_object() ? json.value("config_version", std::int64_t{0}) : 0;
    }

    void watch()
    {
        caller own;
        std::vector<std::int64_t> highest(static_cast<std::size_t>(this->running.sizes().hosts) + 1, 0);
        while (!this->done) {
            for (std::size_t host = 1; host < highest.size(); ++host) {
                const std::int64_t version = this->version_of(own, static_cast<int>(host));
                // A process that starts has none yet; it is not ready then.
                if (version == 0)
                    continue;
                ++this->samples;
                this->reverts += version < highest[host] ? 1 : 0;
                highest[host] = std::max(highest[host], version);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{10});
        }
    }

    site& running;
    caller client;
    std::atomic<bool> done{false};
    std::thread thread;
};

class holds_configuration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(holds_configuration);
    CPPUNIT_TEST(accepted_configuration_stays);
    CPPUNIT_TEST_SUITE_END();

    /// Changes are accepted with lost answers, by racing operators, before an outage and beside a stale
    /// replica: each is in force on all hosts within 6 s, no host ever goes back, and a host that starts
    /// during an outage takes the configuration from its peers.
    void accepted_configuration_stays()
    {
        site_options options;
        options.hosts = 4;
        site running{options};
        running.start();
        version_watch watch{running};
        caller control;
        const auto fault = [&](const std::string& body) {
            control.send(running.platform_address(), "POST", "/fault", body);
        };
        running.apply_config(client_named("second"), "plain change");
        CPPUNIT_ASSERT(watch.wait_for(2));

        fault(R"({"lose_answers":2})");
        running.apply_config(client_named("third"), "its answer is lost");
        CPPUNIT_ASSERT(watch.wait_for(3));

        this->race(running);
        CPPUNIT_ASSERT(watch.wait_for(4));

        running.apply_config(client_named("fifth"), "just before an outage");
        fault(R"({"outage_ms":8000})");
        CPPUNIT_ASSERT(watch.wait_for(5));
        running.at("broker-2").kill();
        running.at("entry-2").kill();
        running.start_broker(2);
        running.start_entry(2);
        CPPUNIT_ASSERT(watch.wait_for(5));
        CPPUNIT_ASSERT(running.wait_ready(2, 6));

        fault(R"({"outage_ms":0,"stale":true})");
        std::this_thread::sleep_for(std::chrono::seconds{2});
        running.at("broker-3").kill();
        running.start_broker(3);
        CPPUNIT_ASSERT(watch.wait_for(5));
        fault(R"({"stale":false})");
        std::cout << "versions=5 samples=" << watch.samples << " reverts=" << watch.reverts << "\n";
        CPPUNIT_ASSERT_EQUAL(0, watch.reverts.load());
    }

    static std::string client_named(const std::string& name)
    {
        return "[clients." + name + "]\nkey_sha256 = \"" + std::string(64, 'a') + "\"\n";
    }

    /// Two operators apply different changes made from the same version: one is accepted, the other is
    /// shown what won.
    void race(site& running)
    {
        std::ofstream{running.folder() + "/base.toml", std::ios::app} << client_named("fourth");
        const std::vector<std::string> apply{
            "config", "apply", "--base", running.folder() + "/base.toml", "--overlays", running.folder() + "/overlays",
            "--from", "3"};
        int first_code = 0;
        int second_code = 0;
        std::vector<std::string> first = apply;
        first.insert(first.end(), {"--author", "eva", "--note", "first"});
        std::vector<std::string> second = apply;
        second.insert(second.end(), {"--author", "jan", "--note", "second"});
        running.ctl(first, &first_code);
        const std::string said = running.ctl(second, &second_code);
        CPPUNIT_ASSERT_EQUAL(0, first_code);
        CPPUNIT_ASSERT_EQUAL(3, second_code);
        CPPUNIT_ASSERT_MESSAGE(said, said.find("by eva") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(holds_configuration);

} // namespace
