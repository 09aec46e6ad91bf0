#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "forward/crash_suspects.h"

namespace {

using namespace radishstep;
using namespace radishstep::forward;
using namespace std::chrono_literals;

using parts = std::vector<std::string>;

class test_crash_suspects : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_crash_suspects);
    CPPUNIT_TEST(second_crash_quarantines_what_the_requests_share);
    CPPUNIT_TEST(beliefs_are_announced_once);
    CPPUNIT_TEST(parts_whose_answers_start_are_cleared);
    CPPUNIT_TEST(lost_connections_to_running_endpoints_do_not_count);
    CPPUNIT_TEST(endpoints_that_crash_together_count_once);
    CPPUNIT_TEST(request_lost_beside_a_crashing_one_does_not_widen_the_quarantine);
    CPPUNIT_TEST(crash_after_a_quarantine_renews_it);
    CPPUNIT_TEST(reports_quarantine_at_other_hosts_and_starts_end_it);
    CPPUNIT_TEST(reported_crashes_of_answering_endpoints_are_dropped);
    CPPUNIT_TEST(tables_and_reports_are_bounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Lets `incarnation` crash on a request with these parts, a second after the event before.
    void crash(const std::string& incarnation, const parts& lost)
    {
        this->now += 1s;
        this->suspects.record_lost_request(incarnation, lost, this->now);
        this->suspects.record_endpoint_down(incarnation, this->now);
    }

    bool is_refused(const parts& asked) const { return this->suspects.quarantined_until(asked, this->now).has_value(); }

    void second_crash_quarantines_what_the_requests_share()
    {
        this->crash("a", {"first", "deadly", "x"});
        CPPUNIT_ASSERT(!this->is_refused({"first", "deadly", "x"}));
        this->crash("b", {"first", "deadly", "y"});
        CPPUNIT_ASSERT(this->is_refused({"first", "deadly", "z"}));
        CPPUNIT_ASSERT(!this->is_refused({"first", "z"}));
        CPPUNIT_ASSERT(!this->is_refused({}));
        // A request that also lacks the first part may still be sent; its crash shows that the other part is enough.
        CPPUNIT_ASSERT(!this->is_refused({"elsewhere", "deadly"}));
        this->crash("c", {"elsewhere", "deadly"});
        CPPUNIT_ASSERT(this->is_refused({"deadly"}));
        CPPUNIT_ASSERT(!this->is_refused({"first", "z"}));
    }

    void beliefs_are_announced_once()
    {
        std::vector<std::string> announced;
        this->suspects.on_quarantine = [&](const part_quarantine& started) {
            announced.push_back(started.part + " " + std::to_string(started.crashes) + " " + started.seen_by);
        };
        this->suspects.on_release = [&](const part_quarantine& ended) {
            announced.push_back(ended.part + " released");
        };
        this->crash("a", {"p"});
        this->now += 1s;
        this->suspects.apply_peer_records({{"b", {"p"}, this->now, "other"}}, this->now);
        this->suspects.apply_peer_records({{"b", {"p"}, this->now, "other"}}, this->now);
        this->crash("c", {"p"});
        this->suspects.expire(this->now);
        this->suspects.record_answer_start("d", {"p"}, this->now + 2s);
        this->suspects.expire(this->now + 2s);
        this->suspects.expire(this->now + 3s);
        CPPUNIT_ASSERT(announced == (std::vector<std::string>{"p 2 other", "p 3 this host", "p released"}));
    }

    void parts_whose_answers_start_are_cleared()
    {
        this->crash("a", {"first", "deadly"});
        this->now += 1s;
        this->suspects.record_answer_start("s", {"first"}, this->now);
        this->crash("b", {"first", "deadly"});
        CPPUNIT_ASSERT(this->is_refused({"elsewhere", "deadly"}));
        // Needs one crash more than a part with which no answer has started.
        this->crash("c", {"first", "z"});
        CPPUNIT_ASSERT(!this->is_refused({"first", "z"}));
        this->now += 5min;
        this->suspects.expire(this->now);
        CPPUNIT_ASSERT(!this->is_refused({"first", "z"}));
    }

    void lost_connections_to_running_endpoints_do_not_count()
    {
        for (const char* incarnation : {"a", "b", "c"}) {
            this->now += 1s;
            this->suspects.record_lost_request(incarnation, {"p"}, this->now);
        }
        CPPUNIT_ASSERT(!this->is_refused({"p"}));
        CPPUNIT_ASSERT(!this->suspects.may_retry({"p"}, this->now));
        this->now += crash_suspects::confirmation_time + 1s;
        for (const char* incarnation : {"a", "b", "c"})
            this->suspects.record_endpoint_down(incarnation, this->now);
        CPPUNIT_ASSERT(!this->is_refused({"p"}));
        this->suspects.expire(this->now);
        CPPUNIT_ASSERT(this->suspects.may_retry({"p"}, this->now));
    }

    void endpoints_that_crash_together_count_once()
    {
        for (const char* incarnation : {"a", "b", "c", "d"}) {
            this->suspects.record_endpoint_down(incarnation, this->now);
            this->suspects.record_lost_request(incarnation, {"p"}, this->now);
        }
        CPPUNIT_ASSERT(!this->is_refused({"p"}));
        // The same endpoint again, as another host saw it.
        this->now += 1s;
        this->suspects.apply_peer_records({{"a", {"p"}, this->now}}, this->now);
        CPPUNIT_ASSERT(!this->is_refused({"p"}));
    }

    void request_lost_beside_a_crashing_one_does_not_widen_the_quarantine()
    {
        this->suspects.record_lost_request("a", {"first", "bystander"}, this->now);
        this->suspects.record_lost_request("a", {"first", "deadly"}, this->now);
        this->suspects.record_endpoint_down("a", this->now);
        this->crash("b", {"first", "deadly"});
        CPPUNIT_ASSERT(this->is_refused({"first", "deadly"}));
        CPPUNIT_ASSERT(!this->is_refused({"first", "bystander"}));
        CPPUNIT_ASSERT(!this->is_refused({"first"}));
    }

    void crash_after_a_quarantine_renews_it()
    {
        this->crash("a", {"p"});
        this->crash("b", {"p"});
        const time_point until = this->now + crash_suspects::first_quarantine;
        CPPUNIT_ASSERT(this->suspects.quarantined_until({"p"}, this->now) == until);
        this->now = until;
        this->suspects.expire(this->now);
        CPPUNIT_ASSERT(!this->is_refused({"p"}));
        this->crash("c", {"p"});
        CPPUNIT_ASSERT(this->suspects.quarantined_until({"p"}, this->now) ==
                       this->now + 2 * crash_suspects::first_quarantine);
        for (const char* incarnation : {"d", "e", "f", "g"})
            this->crash(incarnation, {"p"});
        CPPUNIT_ASSERT(this->suspects.quarantined_until({"p"}, this->now) ==
                       this->now + crash_suspects::max_quarantine);
        this->now += crash_suspects::record_lifetime + 1s;
        this->suspects.expire(this->now);
        this->crash("h", {"p"});
        CPPUNIT_ASSERT(!this->is_refused({"p"}));
    }

    void reports_quarantine_at_other_hosts_and_starts_end_it()
    {
        crash_suspects other;
        this->crash("a", {"p", "q"});
        this->crash("b", {"p", "q"});
        other.record_answer_start("s", {"q"}, this->now - 10s);
        other.apply_peer_records(this->suspects.own_records({}), this->now);
        CPPUNIT_ASSERT(other.quarantined_until({"p", "q"}, this->now).has_value());
        // Records of others are not passed on.
        CPPUNIT_ASSERT(other.own_records({}).empty());
        CPPUNIT_ASSERT(other.own_starts({}) == (std::vector<part_start>{{"q", this->now - 10s}}));
        other.record_answer_start("s", {"q"}, this->now + 1s);
        this->suspects.apply_peer_starts(other.own_starts(this->now + 1s), this->now + 1s);
        CPPUNIT_ASSERT(this->suspects.quarantined_until({"p"}, this->now + 1s).has_value());
        CPPUNIT_ASSERT(!this->suspects.quarantined_until({"q"}, this->now + 1s).has_value());
        CPPUNIT_ASSERT(this->suspects.own_starts({}).empty());
    }

    void reported_crashes_of_answering_endpoints_are_dropped()
    {
        this->now += 10s;
        this->suspects.apply_peer_records({{"a", {"p"}, this->now - 3s}, {"b", {"p"}, this->now - 2s}}, this->now);
        CPPUNIT_ASSERT(this->is_refused({"p"}));
        this->suspects.record_answer_start("a", {"z"}, this->now);
        CPPUNIT_ASSERT(!this->is_refused({"p"}));
        this->suspects.apply_peer_records({{"a", {"p"}, this->now - 3s}}, this->now);
        CPPUNIT_ASSERT(!this->is_refused({"p"}));
    }

    void tables_and_reports_are_bounded()
    {
        for (int i = 0; i < 1'000; ++i) {
            const std::string text = std::to_string(i);
            this->crash("e" + text, parts(50, "p" + text));
            this->suspects.apply_peer_records({{"f" + text, parts(50, "q" + text), this->now}}, this->now);
        }
        CPPUNIT_ASSERT_EQUAL(crash_suspects::max_reported_records, this->suspects.own_records({}).size());
        CPPUNIT_ASSERT_EQUAL(crash_suspects::max_parts_per_record, this->suspects.own_records({})[0].parts.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"e999"}, this->suspects.own_records({})[0].incarnation);
    }

private:
    crash_suspects suspects;
    time_point now = time_point{} + 1h;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_crash_suspects);

} // namespace
