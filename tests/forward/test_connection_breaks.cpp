#include <cppunit/extensions/HelperMacros.h>

#include "forward/endpoints/connection_breaks.h"

namespace {

using namespace radishstep;
using namespace radishstep::forward;
using namespace std::chrono_literals;

/// Which breaks of connections show that a process has ended.
class test_connection_breaks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_connection_breaks);
    CPPUNIT_TEST(process_that_breaks_all_calls_together_has_ended);
    CPPUNIT_TEST(single_break_shows_nothing);
    CPPUNIT_TEST(breaks_beside_a_surviving_call_show_nothing);
    CPPUNIT_TEST(breaks_at_several_endpoints_show_nothing);
    CPPUNIT_TEST(resets_of_new_connections_show_nothing);
    CPPUNIT_TEST(breaks_one_after_the_other_show_nothing);
    CPPUNIT_TEST(call_sent_after_the_breaks_is_no_survivor);
    CPPUNIT_TEST(breaks_are_forgotten);
    CPPUNIT_TEST(silent_call_is_told_once_that_its_endpoint_has_ended);
    CPPUNIT_TEST(call_with_an_answer_that_goes_on_is_not_silent);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Breaks off a call that has been open for `age`.
    void break_off(const std::string& incarnation, milliseconds age)
    {
        open_call call{this->breaks, incarnation, this->now - age};
        call.break_off(this->now);
    }

    bool has_ended(const std::string& incarnation) const { return this->breaks.has_ended(incarnation, this->now); }

    // Failure: an engine that fell silent, was restarted and answered at once under its old registration had refused
    // nobody, so that its crash never counted.
    void process_that_breaks_all_calls_together_has_ended()
    {
        this->break_off("a", 3s);
        this->now += 20ms;
        this->break_off("a", 10ms);
        CPPUNIT_ASSERT(this->has_ended("a"));
        CPPUNIT_ASSERT(!this->has_ended("b"));
    }

    // Guards against refused prompts after one broken connection.
    void single_break_shows_nothing()
    {
        this->break_off("a", 3s);
        CPPUNIT_ASSERT(!this->has_ended("a"));
    }

    // Guards against taking some resets for the end of an engine that serves on.
    void breaks_beside_a_surviving_call_show_nothing()
    {
        const open_call survivor{this->breaks, "a", this->now - 1s};
        this->break_off("a", 3s);
        this->break_off("a", 3s);
        CPPUNIT_ASSERT(!this->has_ended("a"));
    }

    // Guards against blaming endpoints for a reset of all connections of this host.
    void breaks_at_several_endpoints_show_nothing()
    {
        for (const char* incarnation : {"a", "b", "a", "b"})
            this->break_off(incarnation, 3s);
        CPPUNIT_ASSERT(!this->has_ended("a"));
        CPPUNIT_ASSERT(!this->has_ended("b"));
    }

    // Guards against taking an overloaded endpoint, which resets new connections, for one that has ended.
    void resets_of_new_connections_show_nothing()
    {
        for (int i = 0; i < 5; ++i)
            this->break_off("a", 10ms);
        CPPUNIT_ASSERT(!this->has_ended("a"));
    }

    // Guards against adding up unrelated breaks.
    void breaks_one_after_the_other_show_nothing()
    {
        this->break_off("a", 3s);
        this->now += connection_breaks::break_window + 1ms;
        this->break_off("a", 3s);
        CPPUNIT_ASSERT(!this->has_ended("a"));
    }

    // Guards against missing an end because the next process has a call already.
    void call_sent_after_the_breaks_is_no_survivor()
    {
        this->break_off("a", 3s);
        this->break_off("a", 1s);
        this->now += 50ms;
        const open_call next{this->breaks, "a", this->now};
        CPPUNIT_ASSERT(this->has_ended("a"));
    }

    // Guards against evidence of an end that is long past.
    void breaks_are_forgotten()
    {
        this->break_off("a", 3s);
        this->break_off("a", 3s);
        this->now += connection_breaks::break_lifetime + 1ms;
        CPPUNIT_ASSERT(!this->has_ended("a"));
    }

    // Failure: calls to an endpoint that had ended without a word waited for their deadlines and counted for nothing.
    void silent_call_is_told_once_that_its_endpoint_has_ended()
    {
        open_call call{this->breaks, "a", this->now};
        int told = 0;
        call.on_process_end = [&](time_point) { ++told; };
        CPPUNIT_ASSERT(this->breaks.silent_calls(this->now).empty());
        this->now += connection_breaks::silence_time;
        for (int i = 0; i < 2; ++i) {
            for (open_call* silent : this->breaks.silent_calls(this->now))
                silent->tell_process_end(this->now);
        }
        CPPUNIT_ASSERT_EQUAL(1, told);
    }

    // Guards against blaming a stream for the end of a process that still answers it, such as one that is leaving.
    void call_with_an_answer_that_goes_on_is_not_silent()
    {
        open_call call{this->breaks, "a", this->now};
        this->now += connection_breaks::silence_time;
        call.record_bytes(this->now - 1ms);
        CPPUNIT_ASSERT(this->breaks.silent_calls(this->now).empty());
    }

private:
    time_point now = runtime_clock::now();
    connection_breaks breaks;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_connection_breaks);

} // namespace
