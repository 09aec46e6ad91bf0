#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>

#include "base/bounded_ring.h"
#include "base/event_log.h"
#include "base/hash.h"
#include "base/hybrid_clock.h"
#include "base/runtime_clock.h"
#include "base/settings.h"
#include "base/supervisor.h"
#include "base/text.h"
#include "http/client.h"

namespace {

using namespace radishstep;
using namespace std::chrono_literals;

class test_base : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_base);
    CPPUNIT_TEST(paused_clock_moves_only_when_advanced);
    CPPUNIT_TEST(timers_follow_the_paused_clock);
    CPPUNIT_TEST(hybrid_clock_exceeds_observed_stamps);
    CPPUNIT_TEST(full_ring_rejects_items);
    CPPUNIT_TEST(ring_wakes_when_it_stops_being_empty);
    CPPUNIT_TEST(full_event_log_drops_oldest_and_filters_by_request);
    CPPUNIT_TEST(malformed_event_lines_are_skipped);
    CPPUNIT_TEST(base64_round_trips_and_rejects_malformed_text);
    CPPUNIT_TEST(malformed_utf8_is_rejected);
    CPPUNIT_TEST(malformed_integers_are_rejected);
    CPPUNIT_TEST(rendezvous_moves_only_keys_of_the_removed_candidate);
    CPPUNIT_TEST(sha256_matches_the_published_test_vector);
    CPPUNIT_TEST(failed_duty_is_restarted);
    CPPUNIT_TEST(supervisor_gives_up_past_its_limit);
    CPPUNIT_TEST(flags_take_precedence_over_environment);
    CPPUNIT_TEST(invalid_settings_give_errors_with_remedy);
    CPPUNIT_TEST(call_to_an_address_that_is_none_was_not_sent);
    CPPUNIT_TEST_SUITE_END();

    void paused_clock_moves_only_when_advanced()
    {
        runtime_clock::pause();
        const time_point before = runtime_clock::now();
        CPPUNIT_ASSERT(runtime_clock::now() == before);
        runtime_clock::advance(5s);
        CPPUNIT_ASSERT(runtime_clock::now() == before + 5s);
        runtime_clock::resume();
        CPPUNIT_ASSERT(runtime_clock::now() >= before + 5s);
    }

    void timers_follow_the_paused_clock()
    {
        runtime_clock::pause();
        boost::asio::io_context context;
        timer one_hour_timer{context};
        bool has_fired = false;
        one_hour_timer.expires_after(1h);
        one_hour_timer.async_wait([&has_fired](auto) { has_fired = true; });
        context.run_for(5ms);
        CPPUNIT_ASSERT(!has_fired);
        runtime_clock::advance(1h);
        context.restart();
        context.run();
        runtime_clock::resume();
        CPPUNIT_ASSERT(has_fired);
    }

    void hybrid_clock_exceeds_observed_stamps()
    {
        hybrid_clock clock;
        const std::uint64_t first = clock.next();
        const std::uint64_t peer = first + (1'000ULL << hybrid_clock::counter_bits);
        clock.observe(peer);
        CPPUNIT_ASSERT(clock.next() > peer);
    }

    void full_ring_rejects_items()
    {
        bounded_ring<int> ring{2};
        CPPUNIT_ASSERT(ring.push(1));
        CPPUNIT_ASSERT(ring.push(2));
        CPPUNIT_ASSERT(!ring.push(3));
        CPPUNIT_ASSERT_EQUAL(1, *ring.pop());
        CPPUNIT_ASSERT_EQUAL(2, *ring.pop());
        CPPUNIT_ASSERT(!ring.pop());
    }

    void ring_wakes_when_it_stops_being_empty()
    {
        bounded_ring<int> ring{4};
        int wakes = 0;
        ring.on_wake([&wakes] { ++wakes; });
        ring.push(1);
        ring.push(2);
        CPPUNIT_ASSERT_EQUAL(1, wakes);
        ring.pop();
        ring.pop();
        ring.push(3);
        CPPUNIT_ASSERT_EQUAL(2, wakes);
    }

    void full_event_log_drops_oldest_and_filters_by_request()
    {
        event_log log{3};
        log.set_process_name("p");
        for (int i = 0; i < 5; ++i)
            log.record("k" + std::to_string(i), i % 2 == 0 ? "even" : "odd", "");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, log.find({}).size());
        const auto found = log.find({0, "even", 10});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, found.size());
        CPPUNIT_ASSERT(from_json_lines(to_json_lines(found)) == found);
    }

    void malformed_event_lines_are_skipped() { CPPUNIT_ASSERT(from_json_lines("nonsense\n[]\n{\"a\":1}\n").empty()); }

    void base64_round_trips_and_rejects_malformed_text()
    {
        for (const std::string& bytes : {std::string{}, std::string{"a"}, std::string{"ab"}, std::string{"a\0c", 3}})
            CPPUNIT_ASSERT(from_base64(to_base64(bytes)) == bytes);
        CPPUNIT_ASSERT(!from_base64("abc"));
        CPPUNIT_ASSERT(!from_base64("a?=="));
    }

    void malformed_utf8_is_rejected()
    {
        CPPUNIT_ASSERT(is_utf8("Plaveck\xc3\xbd"));
        CPPUNIT_ASSERT(!is_utf8("\xc3"));
        CPPUNIT_ASSERT(!is_utf8("\xed\xa0\x80"));
    }

    void malformed_integers_are_rejected()
    {
        CPPUNIT_ASSERT(to_integer("-12") == -12);
        CPPUNIT_ASSERT(!to_integer("12x"));
        CPPUNIT_ASSERT(!to_integer(""));
        CPPUNIT_ASSERT(!to_integer("99999999999999999999"));
    }

    void rendezvous_moves_only_keys_of_the_removed_candidate()
    {
        const std::vector<std::string> all{"a", "b", "c", "d"};
        const std::vector<std::string> without_b{"a", "c", "d"};
        for (int i = 0; i < 200; ++i) {
            const std::string key = "cell-" + std::to_string(i);
            const std::string winner = rendezvous_winner(key, all);
            if (winner != "b")
                CPPUNIT_ASSERT_EQUAL(winner, rendezvous_winner(key, without_b));
        }
        CPPUNIT_ASSERT_EQUAL(std::string{}, rendezvous_winner("x", {}));
    }

    void sha256_matches_the_published_test_vector()
    {
        CPPUNIT_ASSERT_EQUAL(std::string{"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"},
                             sha256_hex("abc"));
    }

    void failed_duty_is_restarted()
    {
        std::atomic<int> runs{0};
        supervisor root{"test"};
        root.add_duty(
            "flaky",
            [&runs] {
                if (++runs < 3)
                    throw std::runtime_error("first tries fail");
            },
            [] {});
        root.start();
        root.stop();
        CPPUNIT_ASSERT_EQUAL(3, runs.load());
    }

    void supervisor_gives_up_past_its_limit()
    {
        std::string given_up;
        {
            supervisor root{"test"};
            root.on_give_up([&given_up](const std::string& duty) { given_up = duty; });
            supervisor& child = root.add_child("child", {2, 10s});
            child.add_duty(
                "broken", [] { throw std::runtime_error("always"); }, [] {});
            root.start();
            root.stop();
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"broken"}, given_up);
    }

    void flags_take_precedence_over_environment()
    {
        const char* const arguments[] = {"program", "--alpha", "flag"};
        setenv("RADISHSTEP_ALPHA", "environment", 1);
        setenv("RADISHSTEP_BETA_GAMMA", "12", 1);
        auto reader = settings_reader::parse("Usage: program [--alpha=X] [--beta-gamma=N]", 3, arguments);
        CPPUNIT_ASSERT(reader);
        CPPUNIT_ASSERT_EQUAL(std::string{"flag"}, reader->text("--alpha", "default"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{12}, reader->number("--beta-gamma", 1, 0, 100));
        CPPUNIT_ASSERT(reader->validate());
    }

    void invalid_settings_give_errors_with_remedy()
    {
        const char* const arguments[] = {"program", "--count", "many"};
        auto reader = settings_reader::parse("Usage: program [--count=N] [--name=X]", 3, arguments);
        reader->number("--count", 1, 0, 100);
        CPPUNIT_ASSERT(!reader->validate());
        CPPUNIT_ASSERT_EQUAL(std::string{"give a whole number from 0 to 100"}, reader->validate().error().remedy);
        const char* const unknown[] = {"program", "--what"};
        CPPUNIT_ASSERT(!settings_reader::parse("Usage: program [--count=N]", 2, unknown));
    }

    // Guards against requests that may run only once and end as "may have run" after an address that cannot be parsed.
    void call_to_an_address_that_is_none_was_not_sent()
    {
        boost::asio::io_context io;
        http::client client{io.get_executor()};
        for (const char* address : {"127.0.0.1:70000", "127.0.0.1", "host:80"}) {
            auto ended =
                boost::asio::co_spawn(io, client.call(address, http::get_request("/"), {}), boost::asio::use_future);
            io.restart();
            io.run();
            const auto answer = ended.get();
            CPPUNIT_ASSERT(!answer && !may_have_arrived(answer.error().kind));
        }
        CPPUNIT_ASSERT(may_have_arrived(error_kind::connection_lost));
        CPPUNIT_ASSERT(may_have_arrived(error_kind::timed_out));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_base);

} // namespace
