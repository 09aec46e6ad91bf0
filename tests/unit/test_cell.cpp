#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

#include "routing/cell.h"

namespace {

using namespace radishstep;
using namespace std::chrono_literals;

const time_point start{std::chrono::hours{1}};

pool_config pool_of(int prefill, int decode, int slots)
{
    pool_config pool;
    pool.name = "pool";
    for (int i = 1; i <= prefill; ++i)
        pool.endpoints.push_back({"p" + std::to_string(i), "z", endpoint_role::prefill, "10.0.0.1:1", 1, 0, false});
    for (int i = 1; i <= decode; ++i)
        pool.endpoints.push_back({"d" + std::to_string(i), "z", endpoint_role::decode, "10.0.0.2:1", slots, 0, false});
    return pool;
}

cell ready_cell(int prefill = 1, int decode = 1, int slots = 2)
{
    cell made{"pool"};
    made.configure(pool_of(prefill, decode, slots), {});
    for (const endpoint_config& endpoint : made.endpoint_configs())
        made.report({endpoint.name, true, false, "1", {}}, start);
    return made;
}

permit_request ask_of(const std::string& request, const std::string& client = "c", int tokens = 100)
{
    permit_request wish;
    wish.key = {"h1:1:" + request, 1};
    wish.holder = "h1/1";
    wish.client = client;
    wish.prompt_tokens = tokens;
    wish.answer_tokens = 10;
    wish.fingerprint = std::hash<std::string>{}(request);
    wish.patience = 1s;
    return wish;
}

template <typename Decision>
std::vector<Decision> all(const cell_decisions& decisions)
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
    CPPUNIT_TEST(grants_both_endpoints_at_once);
    CPPUNIT_TEST(prefill_is_not_paid_without_a_decode_slot);
    CPPUNIT_TEST(slots_are_never_overfilled);
    CPPUNIT_TEST(hopeless_request_is_refused_at_once);
    CPPUNIT_TEST(waiting_request_is_refused_when_its_time_is_over);
    CPPUNIT_TEST(request_past_its_time_is_not_granted);
    CPPUNIT_TEST(unreported_endpoint_gets_nothing);
    CPPUNIT_TEST(leaving_host_gets_nothing);
    CPPUNIT_TEST(lost_holder_is_cancelled_after_its_grace);
    CPPUNIT_TEST(reassert_keeps_permits);
    CPPUNIT_TEST(reassert_drops_what_is_not_named);
    CPPUNIT_TEST(uncovered_job_is_cancelled_and_takes_its_slot_meanwhile);
    CPPUNIT_TEST(nothing_is_cancelled_while_rebuilding);
    CPPUNIT_TEST(unheard_hosts_jobs_are_cancelled_later);
    CPPUNIT_TEST(poison_is_refused_after_two_deaths);
    CPPUNIT_TEST(suspect_runs_alone);
    CPPUNIT_TEST(copies_of_a_prompt_spread_over_two_endpoints_at_most);
    CPPUNIT_TEST(clients_share_fairly);
    CPPUNIT_TEST(straggler_is_avoided);
    CPPUNIT_TEST(memory_blocks_are_counted);
    CPPUNIT_TEST(avoided_endpoint_is_used_when_there_is_no_other);
    CPPUNIT_TEST_SUITE_END();

    void grants_both_endpoints_at_once()
    {
        cell tested = ready_cell();
        const auto grants = all<permit_grant>(tested.ask(ask_of("1"), start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, grants.at(0).prefill);
        CPPUNIT_ASSERT_EQUAL(std::string{"d1"}, grants.at(0).decode);
    }

    void prefill_is_not_paid_without_a_decode_slot()
    {
        cell tested = ready_cell(2, 1, 1);
        tested.ask(ask_of("1"), start);
        permit_request patient = ask_of("2");
        patient.patience = 60s;
        CPPUNIT_ASSERT(all<permit_grant>(tested.ask(patient, start)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all<permit_grant>(tested.release(release_of("1"), start + 1ms)).size());
    }

    void slots_are_never_overfilled()
    {
        cell tested = ready_cell(1, 2, 3);
        std::size_t granted = 0;
        for (int i = 0; i < 20; ++i) {
            granted += all<permit_grant>(tested.ask(ask_of(std::to_string(i)), start)).size();
            granted += all<permit_grant>(tested.prefill_done({"h1:1:" + std::to_string(i), 1}, 1ms, start)).size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, granted);
    }

    void hopeless_request_is_refused_at_once()
    {
        cell tested = ready_cell();
        permit_request wish = ask_of("1", "c", 1'000'000);
        const auto refusals = all<permit_refusal>(tested.ask(wish, start));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals.size());
        CPPUNIT_ASSERT(refusals.at(0).kind == error_kind::overloaded);
        CPPUNIT_ASSERT(refusals.at(0).retry_after > 0s);
    }

    void waiting_request_is_refused_when_its_time_is_over()
    {
        cell tested = ready_cell();
        tested.ask(ask_of("1"), start);
        tested.ask(ask_of("2"), start);
        CPPUNIT_ASSERT(all<permit_refusal>(tested.tick(start + 500ms)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all<permit_refusal>(tested.tick(start + 1s)).size());
    }

    void request_past_its_time_is_not_granted()
    {
        cell tested = ready_cell(1, 1, 5);
        tested.ask(ask_of("1"), start);
        tested.ask(ask_of("2"), start);
        const auto decisions = tested.prefill_done({"h1:1:1", 1}, 1ms, start + 1s);
        CPPUNIT_ASSERT(all<permit_grant>(decisions).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all<permit_refusal>(decisions).size());
    }

    void unreported_endpoint_gets_nothing()
    {
        cell tested = ready_cell();
        tested.report({"d1", false, false, "", {}}, start);
        CPPUNIT_ASSERT(all<permit_grant>(tested.ask(ask_of("1"), start)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             all<permit_grant>(tested.report({"d1", true, false, "", {}}, start)).size());
    }

    void leaving_host_gets_nothing()
    {
        cell tested = ready_cell();
        tested.set_leaving_addresses({"10.0.0.2"});
        CPPUNIT_ASSERT(all<permit_grant>(tested.ask(ask_of("1"), start)).empty());
    }

    void lost_holder_is_cancelled_after_its_grace()
    {
        cell tested = ready_cell();
        tested.ask(ask_of("1"), start);
        tested.on_holder_disconnected("h1/1", start);
        CPPUNIT_ASSERT(all<job_cancellation>(tested.tick(start + 900ms)).empty());
        const auto cancels = all<job_cancellation>(tested.tick(start + 1s));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cancels.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"h1:1:1.1"}, cancels.at(0).job);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tested.open_permits());
    }

    void reassert_keeps_permits()
    {
        cell tested = ready_cell();
        tested.ask(ask_of("1"), start);
        tested.on_holder_disconnected("h1/1", start);
        tested.reassert("h1/1", {{ask_of("1"), "p1", "d1", true}}, {}, start + 500ms);
        CPPUNIT_ASSERT(all<job_cancellation>(tested.tick(start + 5s)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tested.open_permits());
    }

    void reassert_drops_what_is_not_named()
    {
        cell tested = ready_cell();
        tested.ask(ask_of("1"), start);
        tested.on_holder_disconnected("h1/1", start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, all<job_cancellation>(tested.reassert("h1/1", {}, {}, start + 1ms)).size());
    }

    void uncovered_job_is_cancelled_and_takes_its_slot_meanwhile()
    {
        cell tested = ready_cell(1, 1, 1);
        tested.report({"d1", true, false, "1", {"gone:1:9.1"}}, start);
        CPPUNIT_ASSERT(all<permit_grant>(tested.ask(ask_of("1"), start)).empty());
        const auto decisions = tested.report({"d1", true, false, "1", {"gone:1:9.1"}}, start + 800ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all<job_cancellation>(decisions).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             all<permit_grant>(tested.report({"d1", true, false, "1", {}}, start + 900ms)).size());
    }

    void nothing_is_cancelled_while_rebuilding()
    {
        cell tested = ready_cell();
        tested.begin_rebuild(start);
        tested.report({"d1", true, false, "1", {"h2:1:9.1"}}, start);
        CPPUNIT_ASSERT(all<job_cancellation>(tested.report({"d1", true, false, "1", {"h2:1:9.1"}}, start + 1s)).empty());
        CPPUNIT_ASSERT(!all<job_cancellation>(tested.report({"d1", true, false, "1", {"h2:1:9.1"}}, start + 2s)).empty());
    }

    void unheard_hosts_jobs_are_cancelled_later()
    {
        cell tested = ready_cell();
        tested.set_host_reconciled_check([](const std::string&) { return false; });
        tested.report({"d1", true, false, "1", {"h2:1:9.1"}}, start);
        CPPUNIT_ASSERT(all<job_cancellation>(tested.report({"d1", true, false, "1", {"h2:1:9.1"}}, start + 1s)).empty());
        CPPUNIT_ASSERT(!all<job_cancellation>(tested.report({"d1", true, false, "1", {"h2:1:9.1"}}, start + 2s)).empty());
    }

    void poison_is_refused_after_two_deaths()
    {
        cell tested = ready_cell(3, 3, 2);
        for (int i = 1; i <= 2; ++i) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all<permit_grant>(tested.ask(ask_of("bad"), start)).size());
            permit_release done = release_of("bad");
            done.died = {"p" + std::to_string(i)};
            done.failed = done.died;
            tested.release(done, start);
        }
        const auto refusals = all<permit_refusal>(tested.ask(ask_of("bad"), start));
        CPPUNIT_ASSERT(refusals.at(0).kind == error_kind::poison_request);
    }

    void suspect_runs_alone()
    {
        cell tested = ready_cell(3, 3, 2);
        tested.reassert("h2/1", {}, {{ask_of("bad").fingerprint, 1}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all<permit_grant>(tested.ask(ask_of("bad"), start)).size());
        permit_request copy = ask_of("bad");
        copy.key.request = "h1:1:copy";
        CPPUNIT_ASSERT(all<permit_grant>(tested.ask(copy, start)).empty());
    }

    void copies_of_a_prompt_spread_over_two_endpoints_at_most()
    {
        cell tested = ready_cell(4, 4, 1);
        std::size_t granted = 0;
        for (int i = 0; i < 4; ++i) {
            permit_request copy = ask_of("same");
            copy.key.request = "h1:1:" + std::to_string(i);
            granted += all<permit_grant>(tested.ask(copy, start)).size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, granted);
    }

    void clients_share_fairly()
    {
        cell tested = ready_cell(1, 1, 100);
        for (int i = 0; i < 40; ++i)
            tested.ask(ask_of("a" + std::to_string(i), "a", 10), start);
        for (int i = 0; i < 40; ++i)
            tested.ask(ask_of("b" + std::to_string(i), "b", 10), start);
        std::string running = "h1:1:a0";
        int of_b = 0;
        for (int i = 0; i < 20; ++i) {
            const auto grants = all<permit_grant>(tested.prefill_done({running, 1}, 1ms, start));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
            running = grants.at(0).key.request;
            of_b += running.starts_with("h1:1:b") ? 1 : 0;
        }
        CPPUNIT_ASSERT(of_b >= 9 && of_b <= 11);
    }

    void straggler_is_avoided()
    {
        cell tested = ready_cell(1, 2, 4);
        tested.observe_token_time("d1", 500ms, start);
        const auto grants = all<permit_grant>(tested.ask(ask_of("1"), start + 10ms));
        CPPUNIT_ASSERT_EQUAL(std::string{"d2"}, grants.at(0).decode);
    }

    void memory_blocks_are_counted()
    {
        cell tested{"pool"};
        pool_config pool = pool_of(2, 1, 20);
        pool.endpoints.back().blocks = 10;
        tested.configure(pool, {});
        for (const endpoint_config& endpoint : tested.endpoint_configs())
            tested.report({endpoint.name, true, false, "1", {}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, all<permit_grant>(tested.ask(ask_of("1"), start)).size());
        CPPUNIT_ASSERT(all<permit_grant>(tested.ask(ask_of("2"), start)).empty());
    }

    void avoided_endpoint_is_used_when_there_is_no_other()
    {
        cell tested = ready_cell(2, 1, 2);
        permit_request wish = ask_of("1");
        wish.avoid = {"p1", "d1"};
        const auto grants = all<permit_grant>(tested.ask(wish, start));
        CPPUNIT_ASSERT_EQUAL(std::string{"p2"}, grants.at(0).prefill);
        CPPUNIT_ASSERT_EQUAL(std::string{"d1"}, grants.at(0).decode);
    }

    static permit_release release_of(const std::string& request)
    {
        permit_release done;
        done.key = {"h1:1:" + request, 1};
        done.fingerprint = ask_of(request).fingerprint;
        return done;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_cell);

} // namespace
