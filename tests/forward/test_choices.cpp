#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <limits>

#include "forward/endpoints/endpoint_chooser.h"
#include "forward/fleet/phase_balance.h"

namespace {

using namespace radishstep;
using namespace radishstep::forward;
using namespace std::chrono_literals;

endpoint make_endpoint(const std::string& id, const std::string& service, endpoint_phase phase, int slots,
                       const std::string& zone = "a")
{
    endpoint new_endpoint;
    new_endpoint.id = id;
    new_endpoint.service = service;
    new_endpoint.address = "127.0.0.1:1";
    new_endpoint.zone = zone;
    new_endpoint.slots = slots;
    new_endpoint.phase = phase;
    return new_endpoint;
}

/// Endpoint selection by load, KV cache, health and zone.
class test_choices : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_choices);
    CPPUNIT_TEST(selection_counts_load_of_all_hosts);
    CPPUNIT_TEST(draining_endpoint_is_never_selected);
    CPPUNIT_TEST(avoided_endpoint_is_selected_only_without_alternative);
    CPPUNIT_TEST(unreachable_engines_do_not_count_as_free_at_a_load_peak);
    CPPUNIT_TEST(all_engines_are_candidates_when_most_are_avoided);
    CPPUNIT_TEST(peer_report_of_a_crashed_engine_makes_hosts_avoid_it);
    CPPUNIT_TEST(engine_selected_by_two_hosts_is_overbooked);
    CPPUNIT_TEST(slow_endpoint_gets_less_load);
    CPPUNIT_TEST(failure_ratio_decays_over_time);
    CPPUNIT_TEST(selection_fails_when_all_endpoints_are_full);
    CPPUNIT_TEST(kv_capacity_is_exhausted_before_slots);
    CPPUNIT_TEST(unreported_growth_of_many_hosts_takes_room);
    CPPUNIT_TEST(prefill_engine_in_the_zone_of_the_decode_engine_is_preferred);
    CPPUNIT_TEST(decode_engine_runs_prefill_when_no_prefill_engine_exists);
    CPPUNIT_TEST(two_hosts_do_not_select_the_same_freed_capacity);
    CPPUNIT_TEST(surplus_prefill_engines_are_taken_from_the_largest_zone);
    CPPUNIT_TEST(endpoint_with_repeated_rejections_is_avoided_longer);
    CPPUNIT_TEST(plain_calls_leave_slots_to_longer_waiting_calls);
    CPPUNIT_TEST(free_slots_are_reserved_in_the_order_of_their_scores);
    CPPUNIT_TEST(selection_work_does_not_grow_with_the_slots);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->directory = {};
        this->load = {};
        this->health = {};
        this->model = {};
    }

    void add(const endpoint& entry) { this->directory.put(entry.id, entry); }

    void add_decode_engines(int count)
    {
        for (int i = 0; i < count; ++i)
            this->add(make_endpoint("d" + std::to_string(i), "llm", endpoint_phase::decode, 12));
    }

    selection_context make_selection(std::size_t reserved_slots = 0)
    {
        return {this->none_excluded, 0.4, reserved_slots, true};
    }

    std::string select_plain(std::size_t reserved_slots = 0)
    {
        const auto found = this->chooser.choose_plain_endpoint("app", this->make_selection(reserved_slots), this->now);
        return found ? found->id : "none";
    }

    static model_demand demand(std::int64_t prompt = 3'000)
    {
        return {.service = "llm", .prompt_tokens = prompt, .kv_capacity_tokens = 38'411};
    }

    void selection_counts_load_of_all_hosts()
    {
        const endpoint first = make_endpoint("p0", "app", endpoint_phase::none, 6);
        const endpoint second = make_endpoint("p1", "app", endpoint_phase::none, 6);
        this->add(first);
        this->add(second);
        this->load.add_work(first.incarnation(), {.calls = 1});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, this->select_plain());
        this->load.apply_peer_loads("host-2", {{second.incarnation(), {.calls = 4}}}, {}, this->now);
        CPPUNIT_ASSERT_EQUAL(std::string{"p0"}, this->select_plain());
        this->now += fleet_load::peer_report_lifetime + 1ms;
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, this->select_plain());
    }

    void draining_endpoint_is_never_selected()
    {
        endpoint draining = make_endpoint("p0", "app", endpoint_phase::none, 6);
        draining.is_draining = true;
        this->add(draining);
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, this->select_plain());
    }

    void avoided_endpoint_is_selected_only_without_alternative()
    {
        const endpoint bad = make_endpoint("p0", "app", endpoint_phase::none, 6);
        const endpoint good = make_endpoint("p1", "app", endpoint_phase::none, 6);
        this->add(bad);
        this->add(good);
        this->health.record_outcome(bad.incarnation(), call_outcome::unreachable, this->now);
        this->load.add_work(good.incarnation(), {.calls = 3});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, this->select_plain());
        this->directory.remove("p1");
        CPPUNIT_ASSERT_EQUAL(std::string{"p0"}, this->select_plain());
    }

    // Load pattern: some engines crash during a load peak. They appear idle while all others are full, and requests
    // must not be sent to them.
    void unreachable_engines_do_not_count_as_free_at_a_load_peak()
    {
        this->add_decode_engines(4);
        this->health.record_outcome("d0@0", call_outcome::unreachable, this->now);
        for (const char* full : {"d1@0", "d2@0", "d3@0"})
            this->load.add_work(full, {.calls = 10, .tokens = 36'000});
        const auto found = this->chooser.choose_engines(demand(), this->make_selection(), this->now);
        CPPUNIT_ASSERT(!found && found.error() == selection_failure::full);
        this->load.remove_work("d2@0", {.calls = 10, .tokens = 36'000});
        const auto freed = this->chooser.choose_engines(demand(), this->make_selection(), this->now);
        CPPUNIT_ASSERT(freed && freed->decode.id == "d2");
    }

    void all_engines_are_candidates_when_most_are_avoided()
    {
        this->add_decode_engines(4);
        for (const char* down : {"d0@0", "d1@0", "d2@0"})
            this->health.record_outcome(down, call_outcome::unreachable, this->now);
        this->load.add_work("d3@0", {.calls = 10, .tokens = 36'000});
        CPPUNIT_ASSERT(this->chooser.choose_engines(demand(), this->make_selection(), this->now));
    }

    // Scenario: an engine crashes while 60 hosts use it. After one host's refused connection, the others must avoid
    // the engine without a failed call of their own.
    void peer_report_of_a_crashed_engine_makes_hosts_avoid_it()
    {
        endpoint_health first;
        CPPUNIT_ASSERT(first.record_down({"d0@0", this->now}));
        CPPUNIT_ASSERT(!first.record_down({"d0@0", this->now}));
        const auto down_reports = first.observed_down(this->now + 20ms);
        CPPUNIT_ASSERT(down_reports == std::vector<down_endpoint>({{"d0@0", this->now}}));
        CPPUNIT_ASSERT(this->health.apply_peer_down_report(down_reports.front(), this->now + 20ms));
        CPPUNIT_ASSERT(!this->health.apply_peer_down_report(down_reports.front(), this->now + 20ms));
        CPPUNIT_ASSERT(this->health.is_avoided("d0@0", this->now + 20ms));
        // Reports of other hosts are not passed on, or they would never expire.
        CPPUNIT_ASSERT(this->health.observed_down(this->now + 20ms).empty());
        CPPUNIT_ASSERT(!this->health.is_avoided("d0@0", this->now + endpoint_health::down_report_lifetime));
        CPPUNIT_ASSERT(first.observed_down(this->now + endpoint_health::down_report_lifetime).empty());
    }

    // Load pattern: at a load peak, a second host fills a decode engine's remaining capacity while the first host's
    // request is still in prefill. The first host must detect this and select another engine.
    void engine_selected_by_two_hosts_is_overbooked()
    {
        this->add_decode_engines(2);
        const model_demand required = demand();
        this->load.add_work("d1@0", {.calls = 1, .tokens = 6'000});
        this->load.add_work("d0@0", {.calls = 10, .tokens = 36'000});
        const auto chosen = this->chooser.choose_engines(required, this->make_selection(), this->now);
        CPPUNIT_ASSERT(chosen && chosen->decode.id == "d1");
        this->load.add_work("d1@0", {.calls = 1, .tokens = required.prompt_kv_tokens()});
        CPPUNIT_ASSERT(!this->chooser.is_overbooked(chosen->decode, required, this->now));
        this->load.apply_peer_loads("host-2", {{"d1@0", {.calls = 9, .tokens = 30'000}}}, {}, this->now);
        CPPUNIT_ASSERT(this->chooser.is_overbooked(chosen->decode, required, this->now));
        this->load.remove_work("d0@0", {.calls = 8, .tokens = 30'000});
        const excluded_endpoints excluded{"d1@0"};
        const selection_context selection{excluded, 0.4, 0, true};
        const auto instead = this->chooser.choose_decode_engine(required, "a", selection, this->now);
        CPPUNIT_ASSERT(instead && instead->decode.id == "d0");
    }

    void slow_endpoint_gets_less_load()
    {
        const endpoint slow = make_endpoint("p0", "app", endpoint_phase::none, 6);
        const endpoint normal = make_endpoint("p1", "app", endpoint_phase::none, 6);
        this->add(slow);
        this->add(normal);
        for (int i = 0; i < 4; ++i)
            this->model.record_peer_sample({slow.incarnation(), work_kind::plain, 4}, this->now);
        this->load.add_work(normal.incarnation(), {.calls = 2});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, this->select_plain());
    }

    void failure_ratio_decays_over_time()
    {
        for (int i = 0; i < 10; ++i)
            this->health.record_outcome("p0@0", call_outcome::failed, this->now);
        CPPUNIT_ASSERT(this->health.is_avoided("p0@0", this->now));
        CPPUNIT_ASSERT(!this->health.is_avoided("p0@0", this->now + 10s));
    }

    void selection_fails_when_all_endpoints_are_full()
    {
        const endpoint only = make_endpoint("p0", "app", endpoint_phase::none, 6);
        this->add(only);
        this->load.add_work(only.incarnation(), {.calls = 7});
        const auto found = this->chooser.choose_plain_endpoint("app", this->make_selection(), this->now);
        CPPUNIT_ASSERT(!found && found.error() == selection_failure::full);
    }

    // Load pattern: at a load peak, the streams at an engine come from nine hosts, each of which reports growth of
    // hundreds of tokens only. Together they have grown by more than what a single host could have left out.
    void unreported_growth_of_many_hosts_takes_room()
    {
        this->add_decode_engines(1);
        const model_demand required = demand();
        const std::int64_t fitting =
            required.kv_capacity_tokens - endpoint_chooser::growth_reserve_tokens - required.prompt_kv_tokens();
        const std::int64_t reported = fitting - min_reported_kv_token_change;
        const auto has_room = [&] {
            return this->chooser.choose_engines(required, this->make_selection(), this->now).has_value();
        };
        this->load.apply_peer_loads("host-2", {{"d0@0", {.calls = 9, .tokens = reported}}}, {}, this->now);
        CPPUNIT_ASSERT(has_room());
        this->load.apply_peer_loads("host-2", {}, {}, this->now);
        for (int host = 0; host < 9; ++host)
            this->load.apply_peer_loads("host-" + std::to_string(host),
                                        {{"d0@0", {.calls = 1, .tokens = reported / 9}}}, {}, this->now);
        CPPUNIT_ASSERT(!has_room());
        // Streams that end leave no estimate behind, however their end is learned.
        for (int host = 0; host < 4; ++host)
            this->load.apply_peer_load_changes("host-" + std::to_string(host), {{"d0@0", {}}}, {}, this->now);
        CPPUNIT_ASSERT(has_room());
        this->now += fleet_load::peer_report_lifetime + 1ms;
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, this->load.unreported_tokens_at("d0@0", this->now));
    }

    void kv_capacity_is_exhausted_before_slots()
    {
        const endpoint decode_engine = make_endpoint("d0", "llm", endpoint_phase::decode, 128);
        this->add(decode_engine);
        this->load.add_work(decode_engine.incarnation(), {.calls = 9, .tokens = 33'000});
        CPPUNIT_ASSERT(!this->chooser.choose_engines(demand(), this->make_selection(), this->now));
        CPPUNIT_ASSERT(this->chooser.choose_engines(demand(1'000), this->make_selection(), this->now).has_value());
    }

    void prefill_engine_in_the_zone_of_the_decode_engine_is_preferred()
    {
        this->add(make_endpoint("r0", "llm", endpoint_phase::prefill, 128, "b"));
        this->add(make_endpoint("r1", "llm", endpoint_phase::prefill, 128, "a"));
        this->add(make_endpoint("d0", "llm", endpoint_phase::decode, 128, "a"));
        const auto found = this->chooser.choose_engines(demand(), this->make_selection(), this->now);
        CPPUNIT_ASSERT(found.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"r1"}, found->prefill->id);
    }

    void decode_engine_runs_prefill_when_no_prefill_engine_exists()
    {
        this->add(make_endpoint("d0", "llm", endpoint_phase::decode, 128));
        const auto found = this->chooser.choose_engines(demand(), this->make_selection(), this->now);
        CPPUNIT_ASSERT(found.has_value());
        CPPUNIT_ASSERT(!found->prefill);
    }

    // Load pattern: requests wait on several hosts at a load peak, and capacity for one is freed. Only the host whose
    // request has waited longest may use it.
    void two_hosts_do_not_select_the_same_freed_capacity()
    {
        const endpoint decode_engine = make_endpoint("d0", "llm", endpoint_phase::decode, 128);
        this->add(decode_engine);
        this->load.add_work(decode_engine.incarnation(), {.calls = 8, .tokens = 32'000});
        const queue_head local_head{"llm", {1, lateness::on_time, this->now - 100ms}};
        this->load.apply_peer_loads("host-2", {}, {{"llm", {1, lateness::on_time, this->now - 300ms}}}, this->now);
        const std::size_t peers_ahead = this->load.count_peer_heads_ahead(local_head, this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, peers_ahead);
        CPPUNIT_ASSERT(this->chooser.choose_engines(demand(), this->make_selection(), this->now).has_value());
        CPPUNIT_ASSERT(!this->chooser.choose_engines(demand(), this->make_selection(peers_ahead), this->now));
    }

    // Scenario: calls wait on several hosts while two slots are free.
    void plain_calls_leave_slots_to_longer_waiting_calls()
    {
        const endpoint only = make_endpoint("p0", "app", endpoint_phase::none, 6);
        this->add(only);
        this->load.add_work(only.incarnation(), {.calls = 5});
        CPPUNIT_ASSERT_EQUAL(std::string{"p0"}, this->select_plain(1));
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, this->select_plain(2));
    }

    void free_slots_are_reserved_in_the_order_of_their_scores()
    {
        this->add(make_endpoint("p0", "app", endpoint_phase::none, 6));
        this->add(make_endpoint("p1", "app", endpoint_phase::none, 6));
        this->load.add_work("p1@0", {.calls = 3});
        std::string chosen;
        for (std::size_t reserved = 0; reserved < 12; ++reserved)
            chosen += this->select_plain(reserved).back();
        // Both have a slot more than they run at once, and from the fourth on their slots alternate.
        CPPUNIT_ASSERT_EQUAL(std::string{"000"}, chosen.substr(0, 3));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{7}, std::ranges::count(chosen, '0'));
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{4}, std::ranges::count(chosen, '1'));
        CPPUNIT_ASSERT_EQUAL('e', chosen.back());
    }

    // Guards against memory in proportion to the slots: the process was killed at the first request.
    void selection_work_does_not_grow_with_the_slots()
    {
        constexpr int huge = std::numeric_limits<int>::max();
        this->add(make_endpoint("p0", "app", endpoint_phase::none, huge));
        this->add(make_endpoint("p1", "app", endpoint_phase::none, huge));
        this->load.add_work("p0@0", {.calls = 2});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, this->select_plain());
        CPPUNIT_ASSERT(this->select_plain(100) != "none");
        this->add(make_endpoint("d0", "llm", endpoint_phase::decode, huge));
        model_demand required = demand(0);
        required.kv_capacity_tokens = std::numeric_limits<std::int64_t>::max() / 2;
        const auto found = this->chooser.choose_engines(required, this->make_selection(100), this->now);
        CPPUNIT_ASSERT(found && found->decode.id == "d0");
    }

    // Load pattern: prefill engines are idle at load peaks while decode engines are full.
    void surplus_prefill_engines_are_taken_from_the_largest_zone()
    {
        for (int i = 0; i < 16; ++i)
            this->add(make_endpoint("r" + std::to_string(i), "llm", endpoint_phase::prefill, 128, i < 9 ? "a" : "b"));
        for (int i = 0; i < 44; ++i)
            this->add(make_endpoint("d" + std::to_string(i), "llm", endpoint_phase::decode, 128));
        const auto engines = this->directory.usable("llm");
        const auto first = find_surplus_prefill_engine(engines, {}, 26'639);
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, first->zone);
        CPPUNIT_ASSERT_EQUAL(15, target_prefill_engines(60, 26'639));
        CPPUNIT_ASSERT(!find_surplus_prefill_engine(engines, {first->incarnation()}, 26'639));
        // With few engines the square-root margin is a larger part of the total, so that small sites keep their share
        // of prefill engines.
        CPPUNIT_ASSERT_EQUAL(6, target_prefill_engines(12, 38'411));
        CPPUNIT_ASSERT_EQUAL(7, target_prefill_engines(18, 34'221));
    }

    void endpoint_with_repeated_rejections_is_avoided_longer()
    {
        for (int i = 0; i < 5; ++i)
            this->health.record_outcome("r0@0", call_outcome::rejected, this->now);
        CPPUNIT_ASSERT(this->health.is_avoided("r0@0", this->now + 900ms));
        this->health.record_outcome("r0@0", call_outcome::answered, this->now + 1s);
        this->health.record_outcome("r0@0", call_outcome::rejected, this->now + 1s);
        CPPUNIT_ASSERT(!this->health.is_avoided("r0@0", this->now + 1'100ms));
    }

private:
    endpoint_directory directory;
    fleet_load load;
    endpoint_health health;
    endpoint_notices notices;
    engine_model model;
    excluded_endpoints none_excluded;
    time_point now = runtime_clock::now();
    endpoint_chooser chooser{this->directory, this->load, this->health, this->notices, this->model, "a"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_choices);

} // namespace
