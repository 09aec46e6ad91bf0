#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstddef>
#include <future>
#include <vector>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

/// Engines that say in their answers that they are leaving or want a pause.
class test_engine_notices : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_engine_notices);
    CPPUNIT_TEST(leaving_endpoint_gets_no_new_calls_during_a_store_outage);
    CPPUNIT_TEST(leaving_engines_finish_their_streams_and_get_no_new_ones);
    CPPUNIT_TEST(restarted_endpoint_gets_calls_after_its_predecessor_left);
    CPPUNIT_TEST(paused_endpoint_gets_no_calls_until_its_pause_ends);
    CPPUNIT_TEST(paused_engines_get_no_streams_until_their_pauses_end);
    CPPUNIT_TEST(callers_are_refused_at_once_while_all_endpoints_pause);
    CPPUNIT_TEST(started_stream_resumes_at_the_end_of_a_pause);
    CPPUNIT_TEST(leaving_and_paused_engines_get_no_phase_orders);
    CPPUNIT_TEST(unusable_pauses_do_not_stop_requests);
    CPPUNIT_TEST(pause_of_a_refusal_without_its_end_is_heeded);
    CPPUNIT_TEST(notices_in_answers_to_releases_are_heeded);
    CPPUNIT_TEST(notices_in_answers_to_phase_orders_are_heeded);
    CPPUNIT_TEST_SUITE_END();

public:
    void start(int plain_endpoints, int prefill_engines, int decode_engines)
    {
        this->site = std::make_unique<platform_site>(plain_endpoints, prefill_engines, decode_engines);
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
    }

    void tearDown() override { this->site.reset(); }

    site_response call(const std::string& path)
    {
        site_request request;
        request.path = path;
        request.id = "attempt-" + std::to_string(++this->last_attempt);
        if (path.starts_with("/stream/") || path.starts_with("/resume/"))
            request.extra_headers = {{"Model", "m"}, {"Token-Count", "800,100"}, {"Prefix-Hash", "a:200,b:600"}};
        caller own_caller;
        return own_caller.wait(call_gateway(this->site->callers_address(), request));
    }

    std::size_t received_calls(const std::string& id) { return this->site->engine(id).calls().size(); }

    /// Sends calls until the endpoint has received one, so that the host has its notice.
    void call_until_received(const std::string& id, const std::string& path)
    {
        const std::size_t before = this->received_calls(id);
        constexpr int most_calls = 100;
        for (int i = 0; i < most_calls && this->received_calls(id) == before; ++i)
            this->call(path);
        CPPUNIT_ASSERT(this->received_calls(id) > before);
    }

    // Guards against new calls to a leaving endpoint that the host knows as leaving only from the endpoint's answers.
    void leaving_endpoint_gets_no_new_calls_during_a_store_outage()
    {
        this->start(2, 0, 0);
        this->site->store->set_fault(store_fault::unresponsive);
        this->site->engine("p0").set_leaving(true);
        this->call_until_received("p0", "/plain/1");
        const std::size_t before = this->received_calls("p0");
        for (int i = 0; i < 40; ++i)
            CPPUNIT_ASSERT_EQUAL(status_ok, this->call(i % 2 == 0 ? "/plain/1" : "/once/1").status);
        CPPUNIT_ASSERT_EQUAL(before, this->received_calls("p0"));
        const std::string log = this->site->log();
        CPPUNIT_ASSERT(log.find("state=endpoint_leaving endpoint=p0@") != std::string::npos);
        CPPUNIT_ASSERT(log.find("source=\"plain answer\" age_ms=0") != std::string::npos);
    }

    // Guards against streams that are cut at a leaving engine, and against prefill calls and streams that it gets
    // later.
    void leaving_engines_finish_their_streams_and_get_no_new_ones()
    {
        this->start(1, 2, 2);
        for (const char* id : {"r0", "d0"})
            this->site->engine(id).set_leaving(true);
        this->site->engine("d0").set_work_time(60ms);
        while (this->received_calls("r0") == 0 || this->received_calls("d0") == 0)
            CPPUNIT_ASSERT(this->call("/stream/1").is_complete);
        const std::size_t prefills = this->received_calls("r0");
        const std::size_t streams = this->received_calls("d0");
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(this->call("/resume/1").is_complete);
        CPPUNIT_ASSERT_EQUAL(prefills, this->received_calls("r0"));
        CPPUNIT_ASSERT_EQUAL(streams, this->received_calls("d0"));
    }

    // Guards against a host that never uses a restarted endpoint again.
    void restarted_endpoint_gets_calls_after_its_predecessor_left()
    {
        this->start(1, 0, 0);
        standin_engine& restarted = this->site->engine("p0");
        restarted.set_leaving(true);
        CPPUNIT_ASSERT_EQUAL(status_ok, this->call("/plain/1").status);
        CPPUNIT_ASSERT_EQUAL(status_unavailable, this->call("/plain/1").status);
        restarted.restart();
        this->site->store->put(restarted.key(), restarted.entry());
        CPPUNIT_ASSERT(wait_until([this] { return this->call("/plain/1").status == status_ok; }));
        CPPUNIT_ASSERT(this->site->log().find("state=endpoint_leaving_ended") != std::string::npos);
    }

    // Guards against calls of any route to an endpoint that asked this host to stay away.
    void paused_endpoint_gets_no_calls_until_its_pause_ends()
    {
        this->start(2, 0, 0);
        standin_engine& paused = this->site->engine("p0");
        paused.set_pause("1.2");
        this->call_until_received("p0", "/plain/1");
        paused.set_pause(std::nullopt);
        const time_point asked_at = paused.calls().back().received_at;
        const std::size_t before = this->received_calls("p0");
        while (this->received_calls("p0") == before && runtime_clock::now() < asked_at + 4s)
            CPPUNIT_ASSERT_EQUAL(status_ok, this->call(this->last_attempt % 2 == 0 ? "/plain/1" : "/once/1").status);
        CPPUNIT_ASSERT(this->received_calls("p0") > before);
        CPPUNIT_ASSERT(paused.calls()[before].received_at >= asked_at + 1'200ms);
        CPPUNIT_ASSERT(this->site->log().find("state=endpoint_paused endpoint=p0@") != std::string::npos);
    }

    // Guards against prefill, decode, release and resume calls to engines that asked this host to stay away.
    void paused_engines_get_no_streams_until_their_pauses_end()
    {
        this->start(1, 2, 2);
        for (const char* id : {"r0", "d0"}) {
            this->site->engine(id).set_pause("1.2");
            this->call_until_received(id, "/stream/1");
            this->site->engine(id).set_pause(std::nullopt);
            const time_point asked_at = this->site->engine(id).calls().back().received_at;
            const std::size_t before = this->received_calls(id);
            while (this->received_calls(id) == before && runtime_clock::now() < asked_at + 4s)
                CPPUNIT_ASSERT(this->call(this->last_attempt % 2 == 0 ? "/stream/1" : "/resume/1").is_complete);
            CPPUNIT_ASSERT(this->site->engine(id).calls().at(before).received_at >= asked_at + 1'200ms);
        }
    }

    // Guards against callers that wait for endpoints which take no calls, or return before these do.
    void callers_are_refused_at_once_while_all_endpoints_pause()
    {
        this->start(2, 0, 0);
        for (const char* id : {"p0", "p1"})
            this->site->engine(id).set_pause("8");
        CPPUNIT_ASSERT_EQUAL(status_unavailable, this->call("/once/1").status);
        const std::size_t before = this->received_calls("p0") + this->received_calls("p1");
        const time_point start = runtime_clock::now();
        const site_response refused = this->call("/once/1");
        CPPUNIT_ASSERT(runtime_clock::now() - start < 250ms);
        CPPUNIT_ASSERT_EQUAL(status_unavailable, refused.status);
        const double retry_after = std::stod(std::string{http::find_header(refused.lines, "Retry-After")});
        CPPUNIT_ASSERT(retry_after > 7 && retry_after < 11);
        CPPUNIT_ASSERT_EQUAL(before, this->received_calls("p0") + this->received_calls("p1"));
    }

    // Guards against a started stream that is given up, or resumes at an engine that pauses.
    void started_stream_resumes_at_the_end_of_a_pause()
    {
        this->start(1, 0, 2);
        // The first stream breaks in the middle of its fourth event, at about 0.4 s. Its engine excluded, only the one
        // that pauses is left.
        standin_engine& broken = this->site->engine("d0");
        standin_engine& paused = this->site->engine("d1");
        broken.set_fault(engine_fault::cut_stream);
        broken.set_work_time(100ms);
        paused.set_pause("1.2");
        this->call_until_received("d1", "/resume/1");
        paused.set_pause(std::nullopt);
        const time_point asked_at = paused.calls().back().received_at;
        const std::size_t before = this->received_calls("d1");
        const site_response response = this->call("/resume/1");
        CPPUNIT_ASSERT_EQUAL(whole_stream("attempt-" + std::to_string(this->last_attempt)), response.body);
        CPPUNIT_ASSERT(response.is_complete);
        CPPUNIT_ASSERT(paused.calls().at(before).received_at >= asked_at + 1'200ms);
    }

    // Guards against orders to engines that are about to stop or asked this host to stay away.
    void leaving_and_paused_engines_get_no_phase_orders()
    {
        this->start(1, 4, 4);
        for (const char* id : {"r0", "r1"})
            this->site->engine(id).set_leaving(true);
        for (const char* id : {"r2", "r3"})
            this->site->engine(id).set_pause("60");
        const auto have_all_answered = [this] {
            this->call("/stream/1");
            return this->received_calls("r0") > 0 && this->received_calls("r1") > 0 && this->received_calls("r2") > 0 &&
                   this->received_calls("r3") > 0;
        };
        CPPUNIT_ASSERT(wait_until(have_all_answered));
        CPPUNIT_ASSERT(
            wait_until([this] { return this->site->log().find("state=orders_held") != std::string::npos; }, 8s));
        // The first orders follow 4 s after the host has become the leader.
        std::this_thread::sleep_for(7s);
        for (const char* id : {"r0", "r1", "r2", "r3"}) {
            for (const engine_call& call : this->site->engine(id).calls())
                CPPUNIT_ASSERT(call.kind != "order");
        }
    }

    // Guards against a host that fails on a value which is no time, or stays away without end.
    void unusable_pauses_do_not_stop_requests()
    {
        this->start(1, 0, 0);
        standin_engine& broken = this->site->engine("p0");
        for (const char* value : {"-5", "soon", "nan"}) {
            broken.set_pause(value);
            CPPUNIT_ASSERT_EQUAL(status_unavailable, this->call("/plain/1").status);
            broken.set_pause(std::nullopt);
            CPPUNIT_ASSERT_EQUAL(status_ok, this->call("/plain/1").status);
        }
        CPPUNIT_ASSERT(this->site->log().find("decision=notice_unusable") != std::string::npos);
        broken.set_pause("1e300");
        CPPUNIT_ASSERT_EQUAL(status_unavailable, this->call("/plain/1").status);
        broken.set_pause(std::nullopt);
        const site_response refused = this->call("/plain/1");
        CPPUNIT_ASSERT_EQUAL(status_unavailable, refused.status);
        CPPUNIT_ASSERT(std::stod(std::string{http::find_header(refused.lines, "Retry-After")}) < 310);
    }

    // Guards against calls to an endpoint whose refusal asked for a pause and broke off, or stalled, in its body.
    void pause_of_a_refusal_without_its_end_is_heeded()
    {
        for (const answer_end end : {answer_end::close, answer_end::keep_open}) {
            this->start(2, 0, 0);
            standin_engine& paused = this->site->engine("p0");
            paused.set_script([end](const engine_call& call) -> scripted_answer {
                const http::headers lines{{"Attempt-Id", call.id}, {"Not-Executed", "1"}, {"Retry-After", "3"}};
                std::string without_end = http_answer(status_unavailable, lines, "refused");
                without_end.pop_back();
                return {{without_end}, end, false};
            });
            site_request request;
            request.deadline_ms = 300;
            while (this->received_calls("p0") == 0)
                this->site->call(request);
            const time_point asked_at = paused.calls().back().received_at;
            const std::size_t before = this->received_calls("p0");
            while (runtime_clock::now() < asked_at + 2'800ms)
                CPPUNIT_ASSERT_EQUAL(status_ok, this->site->call(request).status);
            CPPUNIT_ASSERT_EQUAL(before, this->received_calls("p0"));
            this->tearDown();
        }
    }

    /// Lets a prefill engine's answers say nothing of itself, unless they answer orders or releases.
    void say_nothing_in_prefill_answers(const std::string& id)
    {
        this->site->engine(id).set_script([](const engine_call& call) -> scripted_answer {
            return {{http_answer(status_ok, {{"Attempt-Id", call.id}}, R"({"handle":"h1","tokens":800,"version":1})")}};
        });
    }

    bool is_logged(const std::string& text) const { return this->site->log().find(text) != std::string::npos; }

    std::ptrdiff_t calls_of_kind(const std::string& id, const std::string& kind)
    {
        const std::vector<engine_call> calls = this->site->engine(id).calls();
        return std::ranges::count(calls, kind, &engine_call::kind);
    }

    // Guards against prefill calls to an engine that said it is leaving, or asked for a pause, when a prefill result
    // was released.
    void notices_in_answers_to_releases_are_heeded()
    {
        for (const bool is_pause : {false, true}) {
            this->start(0, 1, 2);
            this->say_nothing_in_prefill_answers("r0");
            if (is_pause)
                this->site->engine("r0").set_pause("30");
            else
                this->site->engine("r0").set_leaving(true);
            for (const char* id : {"d0", "d1"})
                this->site->engine(id).set_fault(engine_fault::shed);
            this->call("/stream/1");
            CPPUNIT_ASSERT(wait_until([this] { return this->calls_of_kind("r0", "release") == 1; }));
            CPPUNIT_ASSERT(wait_until([this] { return this->is_logged("source=\"release answer\""); }));
            const std::ptrdiff_t prefills = this->calls_of_kind("r0", "prefill");
            for (const char* id : {"d0", "d1"})
                this->site->engine(id).set_fault(engine_fault::none);
            CPPUNIT_ASSERT(wait_until([this] { return this->call("/stream/1").is_complete; }));
            CPPUNIT_ASSERT_EQUAL(prefills, this->calls_of_kind("r0", "prefill"));
            this->tearDown();
        }
    }

    // Guards against prefill calls and orders to an engine that said it is leaving when it took an order.
    void notices_in_answers_to_phase_orders_are_heeded()
    {
        this->start(0, 4, 1);
        for (const char* id : {"r0", "r1", "r2", "r3"}) {
            this->say_nothing_in_prefill_answers(id);
            this->site->engine(id).set_leaving(true);
        }
        CPPUNIT_ASSERT(wait_until([this] { return this->is_logged("source=\"order answer\""); }, 12s));
        CPPUNIT_ASSERT(this->is_logged("state=endpoint_leaving endpoint=r"));
        for (int i = 0; i < 12; ++i)
            this->call("/stream/1");
        for (const char* id : {"r0", "r1", "r2", "r3"})
            CPPUNIT_ASSERT(this->calls_of_kind(id, "order") == 0 || this->calls_of_kind(id, "prefill") == 0);
    }

private:
    std::unique_ptr<platform_site> site;
    int last_attempt = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_engine_notices);

} // namespace
