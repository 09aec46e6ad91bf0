#include <cppunit/extensions/HelperMacros.h>

#include "forward/endpoint_chooser.h"
#include "forward/phase_balance.h"

namespace {

using namespace radishstep;
using namespace radishstep::forward;
using namespace std::chrono_literals;

endpoint make_endpoint(const std::string& id, const std::string& service, endpoint_phase phase, int slots,
                       const std::string& zone = "a")
{
    endpoint made;
    made.id = id;
    made.service = service;
    made.address = "127.0.0.1:1";
    made.zone = zone;
    made.slots = slots;
    made.phase = phase;
    return made;
}

/// Which endpoint gets a request, by load, memory, health and zone.
class test_choices : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_choices);
    CPPUNIT_TEST(least_loaded_endpoint_is_chosen_over_all_hosts);
    CPPUNIT_TEST(draining_endpoint_is_never_chosen);
    CPPUNIT_TEST(failing_endpoint_is_used_only_when_no_other_is_left);
    CPPUNIT_TEST(crest_engines_that_are_down_do_not_count_as_free);
    CPPUNIT_TEST(all_engines_are_used_when_most_seem_down);
    CPPUNIT_TEST(word_of_a_crashed_engine_keeps_all_hosts_off_it);
    CPPUNIT_TEST(crest_engine_that_two_hosts_chose_is_seen_as_overbooked);
    CPPUNIT_TEST(slowed_endpoint_gets_less);
    CPPUNIT_TEST(endpoint_recovers_its_share_after_a_while);
    CPPUNIT_TEST(full_endpoints_make_calls_wait);
    CPPUNIT_TEST(memory_binds_before_slots);
    CPPUNIT_TEST(prompt_is_read_in_the_zone_of_its_decode_engine);
    CPPUNIT_TEST(decode_engine_reads_itself_when_no_prefill_engine_is_left);
    CPPUNIT_TEST(crest_two_hosts_do_not_take_the_same_freed_place);
    CPPUNIT_TEST(surplus_readers_are_given_up_zone_by_zone);
    CPPUNIT_TEST(rejections_in_a_row_are_avoided_longer);
    CPPUNIT_TEST(crest_plain_calls_leave_slots_to_those_that_wait_longer);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->directory = {};
        this->load = {};
        this->health = {};
    }

    void add(const endpoint& entry) { this->directory.put(entry.id, entry); }

    void add_decoders(int count)
    {
        for (int i = 0; i < count; ++i)
            this->add(make_endpoint("d" + std::to_string(i), "llm", endpoint_phase::decode, 12));
    }

    selection_context search(std::size_t slots_reserved_for_peers = 0) { return {this->none, 0.4, slots_reserved_for_peers, true}; }

    std::string plain(std::size_t slots_reserved_for_peers = 0)
    {
        const auto found = this->chooser.choose_plain_endpoint("app", this->search(slots_reserved_for_peers), this->now);
        return found ? found->id : "none";
    }

    static model_demand demand(std::int64_t prompt = 3'000)
    {
        return {.service = "llm", .prompt_tokens = prompt, .kv_capacity_tokens = 38'411};
    }

    void least_loaded_endpoint_is_chosen_over_all_hosts()
    {
        const endpoint first = make_endpoint("p0", "app", endpoint_phase::whole, 6);
        const endpoint second = make_endpoint("p1", "app", endpoint_phase::whole, 6);
        this->add(first);
        this->add(second);
        this->load.begin(first.incarnation(), {.calls = 1});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, this->plain());
        this->load.apply_peer_loads("host-2", {{second.incarnation(), {.calls = 4}}}, {}, this->now);
        CPPUNIT_ASSERT_EQUAL(std::string{"p0"}, this->plain());
        this->now += fleet_load::peer_report_lifetime + 1ms;
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, this->plain());
    }

    void draining_endpoint_is_never_chosen()
    {
        endpoint leaving = make_endpoint("p0", "app", endpoint_phase::whole, 6);
        leaving.is_draining = true;
        this->add(leaving);
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, this->plain());
    }

    void failing_endpoint_is_used_only_when_no_other_is_left()
    {
        const endpoint bad = make_endpoint("p0", "app", endpoint_phase::whole, 6);
        const endpoint good = make_endpoint("p1", "app", endpoint_phase::whole, 6);
        this->add(bad);
        this->add(good);
        this->health.record_outcome(bad.incarnation(), call_outcome::unreachable, this->now);
        this->load.begin(good.incarnation(), {.calls = 3});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, this->plain());
        this->directory.remove("p1");
        CPPUNIT_ASSERT_EQUAL(std::string{"p0"}, this->plain());
    }

    // Pattern: a crest while some engines have crashed. Those look empty, the others are full.
    void crest_engines_that_are_down_do_not_count_as_free()
    {
        this->add_decoders(4);
        this->health.record_outcome("d0@0", call_outcome::unreachable, this->now);
        for (const char* full : {"d1@0", "d2@0", "d3@0"})
            this->load.begin(full, {.calls = 10, .tokens = 36'000});
        const auto found = this->chooser.choose_engines(demand(), this->search(), this->now);
        CPPUNIT_ASSERT(!found && found.error() == selection_failure::full);
        this->load.end("d2@0", {.calls = 10, .tokens = 36'000});
        const auto freed = this->chooser.choose_engines(demand(), this->search(), this->now);
        CPPUNIT_ASSERT(freed && freed->decode.id == "d2");
    }

    void all_engines_are_used_when_most_seem_down()
    {
        this->add_decoders(4);
        for (const char* down : {"d0@0", "d1@0", "d2@0"})
            this->health.record_outcome(down, call_outcome::unreachable, this->now);
        this->load.begin("d3@0", {.calls = 10, .tokens = 36'000});
        CPPUNIT_ASSERT(this->chooser.choose_engines(demand(), this->search(), this->now));
    }

    // Pattern: engines crash while 60 hosts use them. One host's refused connection spares all the others theirs.
    void word_of_a_crashed_engine_keeps_all_hosts_off_it()
    {
        endpoint_health first;
        CPPUNIT_ASSERT(first.record_down("d0@0", this->now));
        CPPUNIT_ASSERT(!first.record_down("d0@0", this->now));
        const auto told = first.observed_down(this->now + 20ms);
        CPPUNIT_ASSERT(told == std::vector<down_endpoint>({{"d0@0", this->now}}));
        CPPUNIT_ASSERT(this->health.apply_peer_down_report(told.front(), this->now + 20ms));
        CPPUNIT_ASSERT(!this->health.apply_peer_down_report(told.front(), this->now + 20ms));
        CPPUNIT_ASSERT(this->health.is_avoided("d0@0", this->now + 20ms));
        // What was only heard is not told again, or such a word would never end.
        CPPUNIT_ASSERT(this->health.observed_down(this->now + 20ms).empty());
        CPPUNIT_ASSERT(!this->health.is_avoided("d0@0", this->now + endpoint_health::down_report_lifetime));
        CPPUNIT_ASSERT(first.observed_down(this->now + endpoint_health::down_report_lifetime).empty());
    }

    // Pattern: a crest; while one host has its prompt read, another takes the same decode engine's last room.
    void crest_engine_that_two_hosts_chose_is_seen_as_overbooked()
    {
        this->add_decoders(2);
        const model_demand wanted = demand();
        this->load.begin("d1@0", {.calls = 1, .tokens = 6'000});
        this->load.begin("d0@0", {.calls = 10, .tokens = 36'000});
        const auto chosen = this->chooser.choose_engines(wanted, this->search(), this->now);
        CPPUNIT_ASSERT(chosen && chosen->decode.id == "d1");
        this->load.begin("d1@0", {.calls = 1, .tokens = wanted.prompt_kv_tokens()});
        CPPUNIT_ASSERT(!this->chooser.is_overbooked(chosen->decode, wanted, this->now));
        this->load.apply_peer_loads("host-2", {{"d1@0", {.calls = 9, .tokens = 30'000}}}, {}, this->now);
        CPPUNIT_ASSERT(this->chooser.is_overbooked(chosen->decode, wanted, this->now));
        this->load.end("d0@0", {.calls = 8, .tokens = 30'000});
        const excluded_endpoints overbooked{"d1@0"};
        const selection_context search{overbooked, 0.4, 0, true};
        const auto instead = this->chooser.choose_decode_engine(wanted, "a", search, this->now);
        CPPUNIT_ASSERT(instead && instead->decode.id == "d0");
    }

    void slowed_endpoint_gets_less()
    {
        const endpoint slow = make_endpoint("p0", "app", endpoint_phase::whole, 6);
        const endpoint usual = make_endpoint("p1", "app", endpoint_phase::whole, 6);
        this->add(slow);
        this->add(usual);
        for (int i = 0; i < 4; ++i)
            this->health.record_slowdown(slow.incarnation(), 4, this->now);
        this->load.begin(usual.incarnation(), {.calls = 2});
        CPPUNIT_ASSERT_EQUAL(std::string{"p1"}, this->plain());
    }

    void endpoint_recovers_its_share_after_a_while()
    {
        for (int i = 0; i < 10; ++i)
            this->health.record_outcome("p0@0", call_outcome::failed, this->now);
        CPPUNIT_ASSERT(this->health.is_avoided("p0@0", this->now));
        CPPUNIT_ASSERT(!this->health.is_avoided("p0@0", this->now + 10s));
    }

    void full_endpoints_make_calls_wait()
    {
        const endpoint only = make_endpoint("p0", "app", endpoint_phase::whole, 6);
        this->add(only);
        this->load.begin(only.incarnation(), {.calls = 7});
        const auto found = this->chooser.choose_plain_endpoint("app", this->search(), this->now);
        CPPUNIT_ASSERT(!found && found.error() == selection_failure::full);
    }

    void memory_binds_before_slots()
    {
        const endpoint decoder = make_endpoint("d0", "llm", endpoint_phase::decode, 128);
        this->add(decoder);
        this->load.begin(decoder.incarnation(), {.calls = 9, .tokens = 33'000});
        CPPUNIT_ASSERT(!this->chooser.choose_engines(demand(), this->search(), this->now));
        CPPUNIT_ASSERT(this->chooser.choose_engines(demand(1'000), this->search(), this->now).has_value());
    }

    void prompt_is_read_in_the_zone_of_its_decode_engine()
    {
        this->add(make_endpoint("r0", "llm", endpoint_phase::prefill, 128, "b"));
        this->add(make_endpoint("r1", "llm", endpoint_phase::prefill, 128, "a"));
        this->add(make_endpoint("d0", "llm", endpoint_phase::decode, 128, "a"));
        const auto found = this->chooser.choose_engines(demand(), this->search(), this->now);
        CPPUNIT_ASSERT(found.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"r1"}, found->prefill->id);
    }

    void decode_engine_reads_itself_when_no_prefill_engine_is_left()
    {
        this->add(make_endpoint("d0", "llm", endpoint_phase::decode, 128));
        const auto found = this->chooser.choose_engines(demand(), this->search(), this->now);
        CPPUNIT_ASSERT(found.has_value());
        CPPUNIT_ASSERT(!found->prefill);
    }

    // Pattern: at a crest requests wait on all hosts, and one engine gets room for one of them.
    void crest_two_hosts_do_not_take_the_same_freed_place()
    {
        const endpoint decoder = make_endpoint("d0", "llm", endpoint_phase::decode, 128);
        this->add(decoder);
        this->load.begin(decoder.incarnation(), {.calls = 8, .tokens = 32'000});
        const queue_head own{"llm", lateness::on_time, this->now - 100ms};
        this->load.apply_peer_loads("host-2", {}, {{"llm", lateness::on_time, this->now - 300ms}}, this->now);
        const std::size_t before = this->load.count_peer_heads_ahead(own, this->now);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, before);
        CPPUNIT_ASSERT(this->chooser.choose_engines(demand(), this->search(), this->now).has_value());
        CPPUNIT_ASSERT(!this->chooser.choose_engines(demand(), this->search(before), this->now));
    }

    // Pattern: calls wait on several hosts while two slots are free.
    void crest_plain_calls_leave_slots_to_those_that_wait_longer()
    {
        const endpoint only = make_endpoint("p0", "app", endpoint_phase::whole, 6);
        this->add(only);
        this->load.begin(only.incarnation(), {.calls = 5});
        CPPUNIT_ASSERT_EQUAL(std::string{"p0"}, this->plain(1));
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, this->plain(2));
    }

    // Pattern: prefill engines idle at crests while decode engines are full.
    void surplus_readers_are_given_up_zone_by_zone()
    {
        for (int i = 0; i < 16; ++i)
            this->add(make_endpoint("r" + std::to_string(i), "llm", endpoint_phase::prefill, 128, i < 9 ? "a" : "b"));
        for (int i = 0; i < 44; ++i)
            this->add(make_endpoint("d" + std::to_string(i), "llm", endpoint_phase::decode, 128));
        const auto engines = this->directory.usable("llm");
        const auto first = surplus_reader(engines, {}, 26'639);
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, first->zone);
        CPPUNIT_ASSERT_EQUAL(15, wanted_readers(60, 26'639));
        CPPUNIT_ASSERT(!surplus_reader(engines, {first->incarnation()}, 26'639));
        // Few readers have to keep relatively more spare time: the small sites' shares stay as they are.
        CPPUNIT_ASSERT_EQUAL(6, wanted_readers(12, 38'411));
        CPPUNIT_ASSERT_EQUAL(7, wanted_readers(18, 34'221));
    }

    void rejections_in_a_row_are_avoided_longer()
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
    excluded_endpoints none;
    time_point now = runtime_clock::now();
    endpoint_chooser chooser{this->directory, this->load, this->health, "a"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_choices);

} // namespace
