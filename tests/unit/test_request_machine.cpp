#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "routing/request_machine.h"

namespace {

using namespace radishstep;
namespace event = request_event;
namespace effect = request_effect;

template <typename Effect>
const Effect* find(const request_effects& effects)
{
    for (const effect::any& candidate : effects) {
        if (const Effect* const found = std::get_if<Effect>(&candidate))
            return found;
    }
    return nullptr;
}

/// Feeds events to a machine and keeps the last effects.
struct driver
{
    driver() { std::tie(this->state, this->effects) = begin_request(attempt_limits{}); }

    driver& operator()(const event::any& next)
    {
        std::tie(this->state, this->effects) = step(this->state, next);
        return *this;
    }

    request_state state;
    request_effects effects;
};

class test_request_machine : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_request_machine);
    CPPUNIT_TEST(plain_course_relays_and_finishes);
    CPPUNIT_TEST(repeated_tokens_are_dropped);
    CPPUNIT_TEST(gap_resumes_at_the_missing_offset);
    CPPUNIT_TEST(short_answer_is_not_accepted);
    CPPUNIT_TEST(late_events_of_an_earlier_attempt_change_nothing);
    CPPUNIT_TEST(refusal_before_any_call_says_not_run);
    CPPUNIT_TEST(unreachable_endpoints_leave_not_run);
    CPPUNIT_TEST(lost_prefill_may_have_run);
    CPPUNIT_TEST(lost_prefill_is_asked_for_again);
    CPPUNIT_TEST(caller_that_leaves_cancels_everywhere);
    CPPUNIT_TEST(late_grant_is_given_back);
    CPPUNIT_TEST(second_death_is_poison);
    CPPUNIT_TEST_SUITE_END();

    void plain_course_relays_and_finishes()
    {
        driver run;
        CPPUNIT_ASSERT(find<effect::request_permit>(run.effects));
        run(event::granted{1, "p1", "d1"});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, find<effect::start_prefill>(run.effects)->endpoint);
        run(event::prefilled{1});
        CPPUNIT_ASSERT(find<effect::report_prefilled>(run.effects));
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, find<effect::start_decode>(run.effects)->source);
        run(event::token_arrived{1, 0, "a"});
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, find<effect::relay_token>(run.effects)->text);
        run(event::answer_ended{1, 1});
        CPPUNIT_ASSERT(find<effect::finish_answer>(run.effects));
        CPPUNIT_ASSERT(find<effect::release_permit>(run.effects));
    }

    void repeated_tokens_are_dropped()
    {
        driver run = decoding();
        run(event::token_arrived{1, 0, "a"})(event::token_arrived{1, 0, "a"});
        CPPUNIT_ASSERT(run.effects.empty());
        CPPUNIT_ASSERT_EQUAL(1, run.state.answered_tokens);
    }

    void gap_resumes_at_the_missing_offset()
    {
        driver run = decoding();
        run(event::token_arrived{1, 0, "a"})(event::token_arrived{1, 2, "c"});
        const auto* const resumed = find<effect::start_decode>(run.effects);
        CPPUNIT_ASSERT(resumed->resume);
        CPPUNIT_ASSERT_EQUAL(1, resumed->offset);
    }

    void short_answer_is_not_accepted()
    {
        driver run = decoding();
        run(event::token_arrived{1, 0, "a"})(event::answer_ended{1, 5});
        CPPUNIT_ASSERT(!find<effect::finish_answer>(run.effects));
        CPPUNIT_ASSERT(find<effect::start_decode>(run.effects)->resume);
    }

    void late_events_of_an_earlier_attempt_change_nothing()
    {
        driver run = decoding();
        run(event::decode_failed{1, call_failure::not_held});
        CPPUNIT_ASSERT_EQUAL(2, find<effect::request_permit>(run.effects)->attempt);
        const request_state before = run.state;
        run(event::token_arrived{1, 0, "late"});
        CPPUNIT_ASSERT(run.effects.empty());
        CPPUNIT_ASSERT(run.state == before);
    }

    void refusal_before_any_call_says_not_run()
    {
        driver run;
        run(event::refused{1, error{error_kind::overloaded, "", ""}});
        CPPUNIT_ASSERT(!find<effect::refuse_request>(run.effects)->may_have_run);
    }

    void unreachable_endpoints_leave_not_run()
    {
        driver run;
        for (int attempt = 1; attempt <= 3; ++attempt)
            run(event::granted{attempt, "p", "d"})(event::prefill_failed{attempt, call_failure::not_reached});
        CPPUNIT_ASSERT(!find<effect::refuse_request>(run.effects)->may_have_run);
    }

    void lost_prefill_may_have_run()
    {
        driver run;
        run(event::granted{1, "p", "d"})(event::deadline_passed{});
        CPPUNIT_ASSERT(find<effect::refuse_request>(run.effects)->may_have_run);
    }

    void lost_prefill_is_asked_for_again()
    {
        driver run;
        run(event::granted{1, "p1", "d"})(event::prefill_failed{1, call_failure::lost});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, find<effect::start_prefill>(run.effects)->endpoint);
        CPPUNIT_ASSERT_EQUAL(1, run.state.attempt);
    }

    void caller_that_leaves_cancels_everywhere()
    {
        driver run = decoding();
        run(event::caller_disconnected{});
        const auto cancels = std::count_if(run.effects.begin(), run.effects.end(), [](const effect::any& any) {
            return std::holds_alternative<effect::cancel_endpoint_job>(any);
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, cancels);
        CPPUNIT_ASSERT(find<effect::release_permit>(run.effects));
    }

    void late_grant_is_given_back()
    {
        driver run;
        run(event::caller_disconnected{})(event::granted{1, "p", "d"});
        CPPUNIT_ASSERT(find<effect::release_permit>(run.effects));
        CPPUNIT_ASSERT(!find<effect::start_prefill>(run.effects));
    }

    void second_death_is_poison()
    {
        driver run;
        run(event::granted{1, "p1", "d"})(event::prefill_failed{1, call_failure::died});
        run(event::granted{2, "p2", "d"})(event::prefill_failed{2, call_failure::died});
        CPPUNIT_ASSERT(find<effect::refuse_request>(run.effects)->reason.kind == error_kind::poison_request);
    }

    static driver decoding()
    {
        driver run;
        run(event::granted{1, "p1", "d1"})(event::prefilled{1});
        return run;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_request_machine);

} // namespace
