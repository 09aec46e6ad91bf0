#include <cppunit/extensions/HelperMacros.h>

#include "routing/endpoint_balancer.h"
#include "routing/plain_call_machine.h"

namespace {

using namespace radishstep;
namespace event = plain_call_event;
namespace effect = plain_call_effect;

template <typename Effect>
const Effect* find_effect(const plain_call_effects& effects)
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
    explicit machine_driver(bool non_idempotent)
    {
        std::tie(this->state, this->effects) = begin_plain_call(non_idempotent, "f");
    }

    machine_driver& operator()(const event::any& next)
    {
        std::tie(this->state, this->effects) = step(this->state, next);
        return *this;
    }

    plain_call_state state;
    plain_call_effects effects;
};

class test_plain_call_machine : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_plain_call_machine);
    CPPUNIT_TEST(failed_idempotent_call_is_sent_to_another_endpoint);
    CPPUNIT_TEST(non_idempotent_call_claims_its_key_first);
    CPPUNIT_TEST(non_idempotent_call_is_never_sent_twice);
    CPPUNIT_TEST(unsent_call_makes_its_key_reusable);
    CPPUNIT_TEST(store_outage_refuses_call_as_not_run);
    CPPUNIT_TEST(recorded_answer_is_replayed);
    CPPUNIT_TEST(call_in_progress_is_not_sent_again);
    CPPUNIT_TEST(reused_key_with_different_call_is_refused);
    CPPUNIT_TEST(balancer_ejects_failed_endpoint);
    CPPUNIT_TEST_SUITE_END();

    void failed_idempotent_call_is_sent_to_another_endpoint()
    {
        machine_driver machine{false};
        machine(event::call_failed{"s1", true});
        CPPUNIT_ASSERT(find_effect<effect::call_endpoint>(machine.effects)->avoid == std::vector<std::string>{"s1"});
        machine(event::call_failed{"s2", true});
        CPPUNIT_ASSERT(find_effect<effect::refuse_call>(machine.effects)->may_have_run);
    }

    void non_idempotent_call_claims_its_key_first()
    {
        machine_driver machine{true};
        CPPUNIT_ASSERT(find_effect<effect::create_claim>(machine.effects));
        CPPUNIT_ASSERT(!find_effect<effect::call_endpoint>(machine.effects));
        machine(event::claimed{});
        CPPUNIT_ASSERT(find_effect<effect::call_endpoint>(machine.effects));
        machine(event::answered{200, "t", "b"});
        CPPUNIT_ASSERT(find_effect<effect::record_outcome>(machine.effects)->record.status == claim_status::answered);
        CPPUNIT_ASSERT(!find_effect<effect::send_answer>(machine.effects)->is_replay);
    }

    void non_idempotent_call_is_never_sent_twice()
    {
        machine_driver machine{true};
        machine(event::claimed{})(event::call_failed{"s1", true});
        CPPUNIT_ASSERT(!find_effect<effect::call_endpoint>(machine.effects));
        CPPUNIT_ASSERT(find_effect<effect::refuse_call>(machine.effects)->may_have_run);
        CPPUNIT_ASSERT(!find_effect<effect::record_outcome>(machine.effects));
    }

    void unsent_call_makes_its_key_reusable()
    {
        machine_driver machine{true};
        machine(event::claimed{})(event::call_failed{"s1", false})(event::no_endpoint{});
        CPPUNIT_ASSERT(find_effect<effect::record_outcome>(machine.effects)->record.status == claim_status::not_run);
        CPPUNIT_ASSERT(!find_effect<effect::refuse_call>(machine.effects)->may_have_run);
    }

    void store_outage_refuses_call_as_not_run()
    {
        machine_driver machine{true};
        machine(event::claim_failed{});
        CPPUNIT_ASSERT(!find_effect<effect::refuse_call>(machine.effects)->may_have_run);
    }

    void recorded_answer_is_replayed()
    {
        machine_driver machine{true};
        machine(event::claim_taken{{"o", "f", claim_status::answered, 201, "t", "b"}});
        CPPUNIT_ASSERT(find_effect<effect::send_answer>(machine.effects)->is_replay);
        CPPUNIT_ASSERT_EQUAL(201U, find_effect<effect::send_answer>(machine.effects)->http_status);
    }

    void call_in_progress_is_not_sent_again()
    {
        machine_driver machine{true};
        machine(event::claim_taken{{"o", "f", claim_status::in_progress, 0, "", ""}});
        CPPUNIT_ASSERT(find_effect<effect::refuse_call>(machine.effects)->may_have_run);
    }

    void reused_key_with_different_call_is_refused()
    {
        machine_driver machine{true};
        machine(event::claim_taken{{"o", "other", claim_status::answered, 200, "", ""}});
        CPPUNIT_ASSERT(find_effect<effect::refuse_call>(machine.effects)->reason.kind == error_kind::duplicate_call);
    }

    void balancer_ejects_failed_endpoint()
    {
        endpoint_config first;
        first.name = "s1";
        first.address = "10.0.0.1:1";
        endpoint_config second = first;
        second.name = "s2";
        second.address = "10.0.0.2:1";
        endpoint_balancer balancer;
        const time_point now{std::chrono::hours{1}};
        balancer.on_call_started("s1");
        balancer.on_call_ended("s1", true, std::chrono::milliseconds{1}, now);
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT_EQUAL(std::string{"s2"}, balancer.pick({first, second}, {}, "z", now)->name);
        balancer.set_leaving_addresses({"10.0.0.2"});
        CPPUNIT_ASSERT_EQUAL(std::string{"s1"}, balancer.pick({first, second}, {}, "z", now)->name);
        CPPUNIT_ASSERT(balancer.pick({first, second}, {"s1"}, "z", now) == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_plain_call_machine);

} // namespace
