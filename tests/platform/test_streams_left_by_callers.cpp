#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

/// Streams whose callers leave before their end, at engines that are taken away soon after.
class test_streams_left_by_callers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_streams_left_by_callers);
    CPPUNIT_TEST(engines_taken_away_after_callers_left_refuse_no_prompt);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr int engine_count = 4;
    static constexpr int engines_taken_away = 3;

    void setUp() override
    {
        this->site = std::make_unique<platform_site>(0, 0, engine_count);
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
    }

    void tearDown() override { this->site.reset(); }

    site_response send(const std::string& id, milliseconds disconnect_after = 0ms)
    {
        site_request request;
        request.path = "/stream/1";
        request.id = id;
        request.disconnect_after = disconnect_after;
        request.extra_headers = {{"Model", "m"}, {"Token-Count", "800,100"}, {"Prefix-Hash", "shared:600,own:200"}};
        return this->site->call(request);
    }

    /// Returns the engine that got the request.
    standin_engine* engine_of(const std::string& id)
    {
        for (const auto& [name, engine] : this->site->engines) {
            const auto calls = engine->calls();
            if (!calls.empty() && calls.back().id == id)
                return engine.get();
        }
        return nullptr;
    }

    // Failure: a stream that its caller had left counted as lost by its engine, and as a crash if the engine was taken
    // away within 10 s; sound requests with the same prompt part were refused.
    void engines_taken_away_after_callers_left_refuse_no_prompt()
    {
        for (const auto& [id, engine] : this->site->engines)
            engine->set_work_time(100ms);
        for (int i = 0; i < engines_taken_away; ++i) {
            const std::string id = "left-" + std::to_string(i);
            this->send(id, 250ms);
            standin_engine* engine = this->engine_of(id);
            CPPUNIT_ASSERT(engine != nullptr);
            std::this_thread::sleep_for(300ms);
            engine->stop();
            this->site->store->remove(engine->key());
            std::this_thread::sleep_for(1s);
        }
        CPPUNIT_ASSERT_EQUAL(200U, this->send("sound").status);
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_streams_left_by_callers);

} // namespace
