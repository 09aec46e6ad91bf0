#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <vector>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

/// Streamed model requests through the gateway as a process.
class test_streams : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_streams);
    CPPUNIT_TEST(prompt_is_read_apart_and_the_stream_is_whole);
    CPPUNIT_TEST(stream_without_prefill_engines_is_served);
    CPPUNIT_TEST(stream_that_may_not_be_repeated_is_never_made_whole_from_two_runs);
    CPPUNIT_TEST(stream_goes_on_at_another_engine_after_its_last_whole_event);
    CPPUNIT_TEST(lapsed_prompt_costs_no_request);
    CPPUNIT_TEST(read_prompt_is_offered_to_a_second_decode_engine);
    CPPUNIT_TEST(prompt_read_while_its_engine_begins_to_drain_goes_elsewhere);
    CPPUNIT_TEST(full_engines_refuse_truthfully);
    CPPUNIT_TEST(callers_leaving_stops_the_stream);
    CPPUNIT_TEST(surplus_prefill_engine_is_ordered_to_decode_once);
    CPPUNIT_TEST_SUITE_END();

public:
    void start(int readers, int decoders)
    {
        this->site = std::make_unique<platform_site>(1, readers, decoders);
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
    }

    void tearDown() override { this->site.reset(); }

    site_response stream(const std::string& path, const std::string& id = "attempt-1", milliseconds disconnect_after = 0ms)
    {
        site_request request;
        request.path = path;
        request.id = id;
        request.disconnect_after = disconnect_after;
        request.extra_headers = {{"Model", "m"}, {"Token-Count", "3000,100"}, {"Prefix-Hash", "a:200,b:2800"}};
        return this->site->call(request);
    }

    int runs()
    {
        int sum = 0;
        for (const auto& [id, engine] : this->site->engines)
            sum += engine->runs();
        return sum;
    }

    void prompt_is_read_apart_and_the_stream_is_whole()
    {
        this->start(1, 2);
        const site_response got = this->stream("/stream/1");
        CPPUNIT_ASSERT_EQUAL(200U, got.status);
        CPPUNIT_ASSERT(got.is_complete);
        CPPUNIT_ASSERT_EQUAL(whole_stream("attempt-1"), got.body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, this->site->engine("r0").calls().size());
        CPPUNIT_ASSERT_EQUAL(1, this->runs());
        const std::string source = this->site->engine("r0").address() + "/h0";
        for (const char* id : {"d0", "d1"}) {
            for (const engine_call& call : this->site->engine(id).calls())
                CPPUNIT_ASSERT(http::find_header(call.asked.lines, "Kv-Source") == source);
        }
    }

    void stream_without_prefill_engines_is_served()
    {
        this->start(0, 1);
        CPPUNIT_ASSERT_EQUAL(whole_stream("attempt-1"), this->stream("/stream/1").body);
    }

    void stream_that_may_not_be_repeated_is_never_made_whole_from_two_runs()
    {
        this->start(1, 2);
        this->site->engine("d0").set_fault(engine_fault::cut_stream);
        this->site->engine("d1").set_fault(engine_fault::cut_stream);
        const site_response got = this->stream("/stream/1");
        CPPUNIT_ASSERT(!got.is_complete);
        CPPUNIT_ASSERT_EQUAL(1, this->runs());
        CPPUNIT_ASSERT(whole_stream("attempt-1").starts_with(got.body));
    }

    void stream_goes_on_at_another_engine_after_its_last_whole_event()
    {
        this->start(1, 2);
        this->site->engine("d0").set_fault(engine_fault::cut_stream);
        // The choice between the two engines is drawn; one in 64 times six draws miss the broken one.
        constexpr int most_streams = 60;
        for (int i = 0; i < 6 || (this->site->engine("d0").runs() == 0 && i < most_streams); ++i) {
            const std::string id = "attempt-" + std::to_string(i);
            const site_response got = this->stream("/resume/1", id);
            CPPUNIT_ASSERT(got.is_complete);
            CPPUNIT_ASSERT_EQUAL(whole_stream(id), got.body);
        }
        CPPUNIT_ASSERT(this->site->engine("d0").runs() > 0);
    }

    void lapsed_prompt_costs_no_request()
    {
        this->start(1, 2);
        this->site->engine("d0").set_fault(engine_fault::expired_prefill_results);
        this->site->engine("d1").set_fault(engine_fault::expired_prefill_results);
        const site_response got = this->stream("/stream/1");
        // Both decode engines reject the call; it has not run, and the refusal says so.
        CPPUNIT_ASSERT(got.status == 200U || got.status == 503U);
        CPPUNIT_ASSERT_EQUAL(got.status == 200U ? 1 : 0, this->runs());
    }

    void read_prompt_is_offered_to_a_second_decode_engine()
    {
        this->start(1, 2);
        this->site->engine("d0").set_fault(engine_fault::shed);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, this->stream("/stream/1", "attempt-" + std::to_string(i)).status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, this->site->engine("r0").calls().size());
    }

    void prompt_read_while_its_engine_begins_to_drain_goes_elsewhere()
    {
        this->start(1, 2);
        this->site->engine("r0").set_work_time(700ms);
        constexpr int callers = 6;
        std::vector<std::future<site_response>> streams;
        streams.reserve(callers);
        const auto ask = [this](int number) {
            site_request request;
            request.path = "/resume/1";
            request.id = "attempt-" + std::to_string(number);
            request.extra_headers = {{"Model", "m"}, {"Token-Count", "800,100"}, {"Prefix-Hash", "a:200,b:600"}};
            caller own;
            return own.wait(call_gateway(this->site->callers_address(), request));
        };
        for (int i = 0; i < callers; ++i)
            streams.push_back(std::async(std::launch::async, ask, i));
        std::this_thread::sleep_for(150ms);
        standin_engine& leaving = this->site->engine("d0");
        this->site->store->put(leaving.key(), leaving.entry("draining"));
        for (auto& got : streams)
            CPPUNIT_ASSERT(got.get().is_complete);
        CPPUNIT_ASSERT(leaving.calls().empty());
        CPPUNIT_ASSERT_EQUAL(callers, this->site->engine("d1").runs());
    }

    void full_engines_refuse_truthfully()
    {
        this->start(1, 2);
        for (const auto& [id, engine] : this->site->engines)
            engine->set_fault(engine_fault::shed);
        const site_response got = this->stream("/stream/1");
        CPPUNIT_ASSERT_EQUAL(503U, got.status);
        CPPUNIT_ASSERT_EQUAL(0, this->runs());
        CPPUNIT_ASSERT(!http::find_header(got.lines, "Retry-After").empty());
    }

    void callers_leaving_stops_the_stream()
    {
        this->start(1, 1);
        this->site->engine("d0").set_work_time(300ms);
        this->stream("/stream/1", "attempt-1", 700ms);
        CPPUNIT_ASSERT(wait_until(
            [this] {
                const auto calls = this->site->engine("d0").calls();
                return !calls.empty() && calls.front().caller_left;
            },
            500ms));
    }

    // Pattern: prefill engines idle at crests while decode engines are full.
    void surplus_prefill_engine_is_ordered_to_decode_once()
    {
        this->start(4, 4);
        const auto orders = [this] {
            std::vector<engine_call> found;
            for (const auto& [id, engine] : this->site->engines) {
                for (const engine_call& call : engine->calls()) {
                    if (call.kind == "order")
                        found.push_back(call);
                }
            }
            return found;
        };
        CPPUNIT_ASSERT(wait_until([&] { return orders().size() == 1; }, 8s));
        const std::string log = this->site->log();
        const std::size_t held = log.find("state=orders_held token=");
        CPPUNIT_ASSERT(held != std::string::npos);
        for (const engine_call& order : orders()) {
            CPPUNIT_ASSERT(order.asked.body.find(R"("phase":"decode")") != std::string::npos);
            CPPUNIT_ASSERT(order.asked.body.find(R"("holder":"host-1")") != std::string::npos);
            CPPUNIT_ASSERT(http::find_header(order.asked.lines, "Expect-Instance").starts_with("r"));
        }
        CPPUNIT_ASSERT_EQUAL(200U, this->stream("/stream/1").status);
        std::this_thread::sleep_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders().size());
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_streams);

} // namespace
