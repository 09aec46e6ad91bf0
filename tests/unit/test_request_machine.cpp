#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "routing/request_machine.h"

namespace {

using namespace radishstep;
namespace event = request_event;
namespace effect = request_effect;

template <typename Effect>
const Effect* find_effect(const request_effects& effects)
{
    for (const effect::any& candidate : effects) {
        if (const Effect* const found = std::get_if<Effect>(&candidate))
            return found;
    }
    return nullptr;
}

/// Feeds events to a state machine and keeps the effects of the last one.
struct machine_driver
{
    machine_driver() { std::tie(this->state, this->effects) = begin_request(attempt_limits{}); }

    machine_driver& operator()(const event::any& next)
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
    CPPUNIT_TEST(granted_request_relays_tokens_and_finishes);
    CPPUNIT_TEST(repeated_tokens_are_dropped);
    CPPUNIT_TEST(token_gap_resumes_stream_at_missing_offset);
    CPPUNIT_TEST(incomplete_answer_resumes_stream);
    CPPUNIT_TEST(events_of_earlier_attempt_are_ignored);
    CPPUNIT_TEST(refusal_before_any_call_reports_not_run);
    CPPUNIT_TEST(unreachable_endpoints_report_not_run);
    CPPUNIT_TEST(deadline_during_prefill_reports_may_have_run);
    CPPUNIT_TEST(lost_prefill_is_retried_on_same_endpoint);
    CPPUNIT_TEST(caller_disconnect_cancels_both_endpoint_jobs);
    CPPUNIT_TEST(late_grant_is_released);
    CPPUNIT_TEST(second_endpoint_death_refuses_request_as_poison);
    CPPUNIT_TEST_SUITE_END();

    void granted_request_relays_tokens_and_finishes()
    {
        machine_driver machine;
        CPPUNIT_ASSERT(find_effect<effect::request_permit>(machine.effects));
        machine(event::granted{1, "p1", "d1"});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, find_effect<effect::start_prefill>(machine.effects)->endpoint);
        machine(event::prefilled{1});
        CPPUNIT_ASSERT(find_effect<effect::report_prefilled>(machine.effects));
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, find_effect<effect::start_decode>(machine.effects)->source);
        machine(event::token_arrived{1, 0, "a"});
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, find_effect<effect::relay_token>(machine.effects)->text);
        machine(event::answer_ended{1, 1});
        CPPUNIT_ASSERT(find_effect<effect::finish_answer>(machine.effects));
        CPPUNIT_ASSERT(find_effect<effect::release_permit>(machine.effects));
    }

    void repeated_tokens_are_dropped()
    {
        machine_driver machine = make_decoding_machine();
        machine(event::token_arrived{1, 0, "a"})(event::token_arrived{1, 0, "a"});
        CPPUNIT_ASSERT(machine.effects.empty());
        CPPUNIT_ASSERT_EQUAL(1, machine.state.answered_tokens);
    }

    void token_gap_resumes_stream_at_missing_offset()
    {
        machine_driver machine = make_decoding_machine();
        machine(event::token_arrived{1, 0, "a"})(event::token_arrived{1, 2, "c"});
        const auto* const resumed = find_effect<effect::start_decode>(machine.effects);
        CPPUNIT_ASSERT(resumed->resume);
        CPPUNIT_ASSERT_EQUAL(1, resumed->offset);
    }

    void incomplete_answer_resumes_stream()
    {
        machine_driver machine = make_decoding_machine();
        machine(event::token_arrived{1, 0, "a"})(event::answer_ended{1, 5});
        CPPUNIT_ASSERT(!find_effect<effect::finish_answer>(machine.effects));
        CPPUNIT_ASSERT(find_effect<effect::start_decode>(machine.effects)->resume);
    }

    void events_of_earlier_attempt_are_ignored()
    {
        machine_driver machine = make_decoding_machine();
        machine(event::decode_failed{1, call_failure::not_held});
        CPPUNIT_ASSERT_EQUAL(2, find_effect<effect::request_permit>(machine.effects)->attempt);
        const request_state before = machine.state;
        machine(event::token_arrived{1, 0, "late"});
        CPPUNIT_ASSERT(machine.effects.empty());
        CPPUNIT_ASSERT(machine.state == before);
    }

    void refusal_before_any_call_reports_not_run()
    {
        machine_driver machine;
        machine(event::refused{1, error{error_kind::overloaded, "", ""}});
        CPPUNIT_ASSERT(!find_effect<effect::refuse_request>(machine.effects)->may_have_run);
    }

    void unreachable_endpoints_report_not_run()
    {
        machine_driver machine;
        for (int attempt = 1; attempt <= 3; ++attempt)
            machine(event::granted{attempt, "p", "d"})(event::prefill_failed{attempt, call_failure::not_reached});
        CPPUNIT_ASSERT(!find_effect<effect::refuse_request>(machine.effects)->may_have_run);
    }

    void deadline_during_prefill_reports_may_have_run()
    {
        machine_driver machine;
        machine(event::granted{1, "p", "d"})(event::deadline_passed{});
        CPPUNIT_ASSERT(find_effect<effect::refuse_request>(machine.effects)->may_have_run);
    }

    void lost_prefill_is_retried_on_same_endpoint()
    {
        machine_driver machine;
        machine(event::granted{1, "p1", "d"})(event::prefill_failed{1, call_failure::lost});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, find_effect<effect::start_prefill>(machine.effects)->endpoint);
        CPPUNIT_ASSERT_EQUAL(1, machine.state.attempt);
    }

    void caller_disconnect_cancels_both_endpoint_jobs()
    {
        machine_driver machine = make_decoding_machine();
        machine(event::caller_disconnected{});
        const auto cancels = std::count_if(machine.effects.begin(), machine.effects.end(), [](const effect::any& any) {
            return std::holds_alternative<effect::cancel_endpoint_job>(any);
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{2}, cancels);
        CPPUNIT_ASSERT(find_effect<effect::release_permit>(machine.effects));
    }

    void late_grant_is_released()
    {
        machine_driver machine;
        machine(event::caller_disconnected{})(event::granted{1, "p", "d"});
        CPPUNIT_ASSERT(find_effect<effect::release_permit>(machine.effects));
        CPPUNIT_ASSERT(!find_effect<effect::start_prefill>(machine.effects));
    }

    void second_endpoint_death_refuses_request_as_poison()
    {
        machine_driver machine;
        machine(event::granted{1, "p1", "d"})(event::prefill_failed{1, call_failure::died});
        machine(event::granted{2, "p2", "d"})(event::prefill_failed{2, call_failure::died});
        CPPUNIT_ASSERT(find_effect<effect::refuse_request>(machine.effects)->reason.kind == error_kind::poison_request);
    }

    static machine_driver make_decoding_machine()
    {
        machine_driver machine;
        machine(event::granted{1, "p1", "d1"})(event::prefilled{1});
        return machine;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_request_machine);

} // namespace
