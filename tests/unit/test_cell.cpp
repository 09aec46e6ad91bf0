#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "routing/cell.h"

namespace {

using namespace radishstep;
using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

pool_config make_pool(int prefill, int decode, int slots)
{
    pool_config pool;
    pool.name = "pool";
    for (int i = 1; i <= prefill; ++i)
        pool.endpoints.push_back({"p" + std::to_string(i), "z", endpoint_role::prefill, "10.0.0.1:1", 1, 0, false});
    for (int i = 1; i <= decode; ++i)
        pool.endpoints.push_back({"d" + std::to_string(i), "z", endpoint_role::decode, "10.0.0.2:1", slots, 0, false});
    return pool;
}

cell make_ready_cell(int prefill = 1, int decode = 1, int slots = 2)
{
    cell ready{"pool"};
    ready.configure(make_pool(prefill, decode, slots), {});
    for (const endpoint_config& endpoint : ready.endpoint_configs())
        ready.apply_report({endpoint.name, true, false, "1", {}}, start);
    return ready;
}

permit_request make_request(const std::string& name, const std::string& client = "c", int tokens = 100)
{
    permit_request request;
    request.key = {"h1:1:" + name, 1};
    request.holder = "h1/1";
    request.client = client;
    request.prompt_tokens = tokens;
    request.answer_tokens = 10;
    request.fingerprint = std::hash<std::string>{}(name);
    request.patience = 1s;
    return request;
}

template <typename Decision>
std::vector<Decision> decisions_of_type(const cell_decisions& decisions)
{
    std::vector<Decision> found;
    for (const cell_decision& decision : decisions) {
        if (const auto* const match = std::get_if<Decision>(&decision))
            found.push_back(*match);
    }
    return found;
}

class test_cell : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_cell);
    CPPUNIT_TEST(request_is_granted_prefill_and_decode_endpoint);
    CPPUNIT_TEST(request_waits_when_no_decode_slot_is_free);
    CPPUNIT_TEST(grants_never_exceed_slots);
    CPPUNIT_TEST(request_that_exceeds_its_patience_is_refused_immediately);
    CPPUNIT_TEST(queued_request_is_refused_when_its_patience_ends);
    CPPUNIT_TEST(expired_request_is_not_granted);
    CPPUNIT_TEST(unreachable_endpoint_gets_no_requests);
    CPPUNIT_TEST(leaving_host_gets_no_requests);
    CPPUNIT_TEST(permits_of_disconnected_holder_are_cancelled_after_grace);
    CPPUNIT_TEST(reasserted_permits_are_kept);
    CPPUNIT_TEST(permits_missing_from_reassertion_are_cancelled);
    CPPUNIT_TEST(job_without_permit_occupies_slot_until_cancelled);
    CPPUNIT_TEST(no_job_is_cancelled_during_rebuild);
    CPPUNIT_TEST(jobs_of_unreconciled_hosts_are_cancelled_later);
    CPPUNIT_TEST(prompt_is_refused_after_two_endpoint_deaths);
    CPPUNIT_TEST(only_one_copy_of_suspect_prompt_runs);
    CPPUNIT_TEST(copies_of_prompt_run_on_at_most_two_endpoints);
    CPPUNIT_TEST(clients_with_equal_shares_are_served_equally);
    CPPUNIT_TEST(slow_decode_endpoint_is_avoided);
    CPPUNIT_TEST(grants_never_exceed_memory_blocks);
    CPPUNIT_TEST(avoided_endpoint_is_used_when_it_is_the_only_one);
    CPPUNIT_TEST_SUITE_END();

    void request_is_granted_prefill_and_decode_endpoint()
    {
        cell tested = make_ready_cell();
        const auto grants = decisions_of_type<permit_grant>(tested.handle_request(make_request("1"), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, grants.at(0).prefill);
        CPPUNIT_ASSERT_EQUAL(std::string{"d1"}, grants.at(0).decode);
    }

    void request_waits_when_no_decode_slot_is_free()
    {
        cell tested = make_ready_cell(2, 1, 1);
        tested.handle_request(make_request("1"), start);
        permit_request patient_request = make_request("2");
        patient_request.patience = 60s;
        CPPUNIT_ASSERT(decisions_of_type<permit_grant>(tested.handle_request(patient_request, start)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             decisions_of_type<permit_grant>(tested.release(make_release("1"), start + 1ms)).size());
    }

    void grants_never_exceed_slots()
    {
        cell tested = make_ready_cell(1, 2, 3);
        std::size_t granted = 0;
        for (int i = 0; i < 20; ++i) {
            granted +=
                decisions_of_type<permit_grant>(tested.handle_request(make_request(std::to_string(i)), start)).size();
            granted +=
                decisions_of_type<permit_grant>(tested.on_prefill_done({"h1:1:" + std::to_string(i), 1}, 1ms, start))
                    .size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, granted);
    }

    void request_that_exceeds_its_patience_is_refused_immediately()
    {
        cell tested = make_ready_cell();
        permit_request request = make_request("1", "c", 1'000'000);
        const auto refusals = decisions_of_type<permit_refusal>(tested.handle_request(request, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals.size());
        CPPUNIT_ASSERT(refusals.at(0).kind == error_kind::overloaded);
        CPPUNIT_ASSERT(refusals.at(0).retry_after > 0s);
    }

    void queued_request_is_refused_when_its_patience_ends()
    {
        cell tested = make_ready_cell();
        tested.handle_request(make_request("1"), start);
        tested.handle_request(make_request("2"), start);
        CPPUNIT_ASSERT(decisions_of_type<permit_refusal>(tested.tick(start + 500ms)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions_of_type<permit_refusal>(tested.tick(start + 1s)).size());
    }

    void expired_request_is_not_granted()
    {
        cell tested = make_ready_cell(1, 1, 5);
        tested.handle_request(make_request("1"), start);
        tested.handle_request(make_request("2"), start);
        const auto decisions = tested.on_prefill_done({"h1:1:1", 1}, 1ms, start + 1s);
        CPPUNIT_ASSERT(decisions_of_type<permit_grant>(decisions).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions_of_type<permit_refusal>(decisions).size());
    }

    void unreachable_endpoint_gets_no_requests()
    {
        cell tested = make_ready_cell();
        tested.apply_report({"d1", false, false, "", {}}, start);
        CPPUNIT_ASSERT(decisions_of_type<permit_grant>(tested.handle_request(make_request("1"), start)).empty());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            decisions_of_type<permit_grant>(tested.apply_report({"d1", true, false, "", {}}, start)).size());
    }

    void leaving_host_gets_no_requests()
    {
        cell tested = make_ready_cell();
        tested.set_leaving_addresses({"10.0.0.2"});
        CPPUNIT_ASSERT(decisions_of_type<permit_grant>(tested.handle_request(make_request("1"), start)).empty());
    }

    void permits_of_disconnected_holder_are_cancelled_after_grace()
    {
        cell tested = make_ready_cell();
        tested.handle_request(make_request("1"), start);
        tested.on_holder_disconnected("h1/1", start);
        CPPUNIT_ASSERT(decisions_of_type<job_cancellation>(tested.tick(start + 900ms)).empty());
        const auto cancels = decisions_of_type<job_cancellation>(tested.tick(start + 1s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cancels.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"h1:1:1.1"}, cancels.at(0).job);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tested.open_permits());
    }

    void reasserted_permits_are_kept()
    {
        cell tested = make_ready_cell();
        tested.handle_request(make_request("1"), start);
        tested.on_holder_disconnected("h1/1", start);
        tested.reconcile_holder("h1/1", {{make_request("1"), "p1", "d1", true}}, {}, start + 500ms);
        CPPUNIT_ASSERT(decisions_of_type<job_cancellation>(tested.tick(start + 5s)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.open_permits());
    }

    void permits_missing_from_reassertion_are_cancelled()
    {
        cell tested = make_ready_cell();
        tested.handle_request(make_request("1"), start);
        tested.on_holder_disconnected("h1/1", start);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2},
            decisions_of_type<job_cancellation>(tested.reconcile_holder("h1/1", {}, {}, start + 1ms)).size());
    }

    void job_without_permit_occupies_slot_until_cancelled()
    {
        cell tested = make_ready_cell(1, 1, 1);
        tested.apply_report({"d1", true, false, "1", {"gone:1:9.1"}}, start);
        CPPUNIT_ASSERT(decisions_of_type<permit_grant>(tested.handle_request(make_request("1"), start)).empty());
        const auto decisions = tested.apply_report({"d1", true, false, "1", {"gone:1:9.1"}}, start + 800ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decisions_of_type<job_cancellation>(decisions).size());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            decisions_of_type<permit_grant>(tested.apply_report({"d1", true, false, "1", {}}, start + 900ms)).size());
    }

    void no_job_is_cancelled_during_rebuild()
    {
        cell tested = make_ready_cell();
        tested.begin_rebuild(start);
        tested.apply_report({"d1", true, false, "1", {"h2:1:9.1"}}, start);
        CPPUNIT_ASSERT(
            decisions_of_type<job_cancellation>(tested.apply_report({"d1", true, false, "1", {"h2:1:9.1"}}, start + 1s))
                .empty());
        CPPUNIT_ASSERT(!decisions_of_type<job_cancellation>(
                            tested.apply_report({"d1", true, false, "1", {"h2:1:9.1"}}, start + 2s))
                            .empty());
    }

    void jobs_of_unreconciled_hosts_are_cancelled_later()
    {
        cell tested = make_ready_cell();
        tested.set_host_reconciled_check([](const std::string&) { return false; });
        tested.apply_report({"d1", true, false, "1", {"h2:1:9.1"}}, start);
        CPPUNIT_ASSERT(
            decisions_of_type<job_cancellation>(tested.apply_report({"d1", true, false, "1", {"h2:1:9.1"}}, start + 1s))
                .empty());
        CPPUNIT_ASSERT(!decisions_of_type<job_cancellation>(
                            tested.apply_report({"d1", true, false, "1", {"h2:1:9.1"}}, start + 2s))
                            .empty());
    }

    void prompt_is_refused_after_two_endpoint_deaths()
    {
        cell tested = make_ready_cell(3, 3, 2);
        for (int i = 1; i <= 2; ++i) {
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{1},
                decisions_of_type<permit_grant>(tested.handle_request(make_request("bad"), start)).size());
            permit_release done = make_release("bad");
            done.died = {"p" + std::to_string(i)};
            done.failed = done.died;
            tested.release(done, start);
        }
        const auto refusals = decisions_of_type<permit_refusal>(tested.handle_request(make_request("bad"), start));
        CPPUNIT_ASSERT(refusals.at(0).kind == error_kind::poison_request);
    }

    void only_one_copy_of_suspect_prompt_runs()
    {
        cell tested = make_ready_cell(3, 3, 2);
        tested.reconcile_holder("h2/1", {}, {{make_request("bad").fingerprint, 1}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             decisions_of_type<permit_grant>(tested.handle_request(make_request("bad"), start)).size());
        permit_request copy = make_request("bad");
        copy.key.request_id = "h1:1:copy";
        CPPUNIT_ASSERT(decisions_of_type<permit_grant>(tested.handle_request(copy, start)).empty());
    }

    void copies_of_prompt_run_on_at_most_two_endpoints()
    {
        cell tested = make_ready_cell(4, 4, 1);
        std::size_t granted = 0;
        for (int i = 0; i < 4; ++i) {
            permit_request copy = make_request("same");
            copy.key.request_id = "h1:1:" + std::to_string(i);
            granted += decisions_of_type<permit_grant>(tested.handle_request(copy, start)).size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, granted);
    }

    void clients_with_equal_shares_are_served_equally()
    {
        cell tested = make_ready_cell(1, 1, 100);
        for (int i = 0; i < 40; ++i)
            tested.handle_request(make_request("a" + std::to_string(i), "a", 10), start);
        for (int i = 0; i < 40; ++i)
            tested.handle_request(make_request("b" + std::to_string(i), "b", 10), start);
        std::string running_request = "h1:1:a0";
        int grants_of_b = 0;
        for (int i = 0; i < 20; ++i) {
            const auto grants =
                decisions_of_type<permit_grant>(tested.on_prefill_done({running_request, 1}, 1ms, start));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
            running_request = grants.at(0).key.request_id;
            grants_of_b += running_request.starts_with("h1:1:b") ? 1 : 0;
        }
        CPPUNIT_ASSERT(grants_of_b >= 9 && grants_of_b <= 11);
    }

    void slow_decode_endpoint_is_avoided()
    {
        cell tested = make_ready_cell(1, 2, 4);
        tested.observe_token_time("d1", 500ms, start);
        const auto grants = decisions_of_type<permit_grant>(tested.handle_request(make_request("1"), start + 10ms));
        CPPUNIT_ASSERT_EQUAL(std::string{"d2"}, grants.at(0).decode);
    }

    void grants_never_exceed_memory_blocks()
    {
        cell tested{"pool"};
        pool_config pool = make_pool(2, 1, 20);
        pool.endpoints.back().blocks = 10;
        tested.configure(pool, {});
        for (const endpoint_config& endpoint : tested.endpoint_configs())
            tested.apply_report({endpoint.name, true, false, "1", {}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             decisions_of_type<permit_grant>(tested.handle_request(make_request("1"), start)).size());
        CPPUNIT_ASSERT(decisions_of_type<permit_grant>(tested.handle_request(make_request("2"), start)).empty());
    }

    void avoided_endpoint_is_used_when_it_is_the_only_one()
    {
        cell tested = make_ready_cell(2, 1, 2);
        permit_request request = make_request("1");
        request.avoid = {"p1", "d1"};
        const auto grants = decisions_of_type<permit_grant>(tested.handle_request(request, start));
        CPPUNIT_ASSERT_EQUAL(std::string{"p2"}, grants.at(0).prefill);
        CPPUNIT_ASSERT_EQUAL(std::string{"d1"}, grants.at(0).decode);
    }

    static permit_release make_release(const std::string& name)
    {
        permit_release done;
        done.key = {"h1:1:" + name, 1};
        done.fingerprint = make_request(name).fingerprint;
        return done;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_cell);

} // namespace
