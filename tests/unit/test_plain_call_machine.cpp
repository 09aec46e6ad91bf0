#include <cppunit/extensions/HelperMacros.h>

#include "routing/endpoint_balancer.h"
#include "routing/plain_call_machine.h"

namespace {

using namespace radishstep;
namespace event = plain_call_event;
namespace effect = plain_call_effect;

template <typename Effect>
const Effect* find(const plain_call_effects& effects)
{
    for (const effect::any& candidate : effects) {
        if (const Effect* const found = std::get_if<Effect>(&candidate))
            return found;
    }
    return nullptr;
}

struct driver
{
    explicit driver(bool non_idempotent)
    {
        std::tie(this->state, this->effects) = begin_plain_call(non_idempotent, "f");
    }

    driver& operator()(const event::any& next)
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
    CPPUNIT_TEST(idempotent_call_is_sent_again);
    CPPUNIT_TEST(non_idempotent_call_claims_first);
    CPPUNIT_TEST(non_idempotent_call_is_never_sent_twice);
    CPPUNIT_TEST(unsent_call_gives_its_key_back);
    CPPUNIT_TEST(store_outage_is_a_true_not_run);
    CPPUNIT_TEST(recorded_answer_is_replayed);
    CPPUNIT_TEST(running_call_is_not_repeated);
    CPPUNIT_TEST(key_of_another_call_is_refused);
    CPPUNIT_TEST(balancer_rests_failed_endpoints);
    CPPUNIT_TEST_SUITE_END();

    void idempotent_call_is_sent_again()
    {
        driver run{false};
        run(event::call_failed{"s1", true});
        CPPUNIT_ASSERT(find<effect::call_endpoint>(run.effects)->avoid == std::vector<std::string>{"s1"});
        run(event::call_failed{"s2", true});
        CPPUNIT_ASSERT(find<effect::refuse_call>(run.effects)->may_have_run);
    }

    void non_idempotent_call_claims_first()
    {
        driver run{true};
        CPPUNIT_ASSERT(find<effect::create_claim>(run.effects));
        CPPUNIT_ASSERT(!find<effect::call_endpoint>(run.effects));
        run(event::claimed{});
        CPPUNIT_ASSERT(find<effect::call_endpoint>(run.effects));
        run(event::answered{200, "t", "b"});
        CPPUNIT_ASSERT(find<effect::record_outcome>(run.effects)->record.status == claim_status::answered);
        CPPUNIT_ASSERT(!find<effect::send_answer>(run.effects)->is_replay);
    }

    void non_idempotent_call_is_never_sent_twice()
    {
        driver run{true};
        run(event::claimed{})(event::call_failed{"s1", true});
        CPPUNIT_ASSERT(!find<effect::call_endpoint>(run.effects));
        CPPUNIT_ASSERT(find<effect::refuse_call>(run.effects)->may_have_run);
        CPPUNIT_ASSERT(!find<effect::record_outcome>(run.effects));
    }

    void unsent_call_gives_its_key_back()
    {
        driver run{true};
        run(event::claimed{})(event::call_failed{"s1", false})(event::no_endpoint{});
        CPPUNIT_ASSERT(find<effect::record_outcome>(run.effects)->record.status == claim_status::not_run);
        CPPUNIT_ASSERT(!find<effect::refuse_call>(run.effects)->may_have_run);
    }

    void store_outage_is_a_true_not_run()
    {
        driver run{true};
        run(event::claim_failed{});
        CPPUNIT_ASSERT(!find<effect::refuse_call>(run.effects)->may_have_run);
    }

    void recorded_answer_is_replayed()
    {
        driver run{true};
        run(event::claim_taken{{"o", "f", claim_status::answered, 201, "t", "b"}});
        CPPUNIT_ASSERT(find<effect::send_answer>(run.effects)->is_replay);
        CPPUNIT_ASSERT_EQUAL(201U, find<effect::send_answer>(run.effects)->http_status);
    }

    void running_call_is_not_repeated()
    {
        driver run{true};
        run(event::claim_taken{{"o", "f", claim_status::in_progress, 0, "", ""}});
        CPPUNIT_ASSERT(find<effect::refuse_call>(run.effects)->may_have_run);
    }

    void key_of_another_call_is_refused()
    {
        driver run{true};
        run(event::claim_taken{{"o", "other", claim_status::answered, 200, "", ""}});
        CPPUNIT_ASSERT(find<effect::refuse_call>(run.effects)->reason.kind == error_kind::duplicate_call);
    }

    void balancer_rests_failed_endpoints()
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
