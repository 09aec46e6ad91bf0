#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

#include "forward/suspects/crash_suspects.h"

namespace {

using namespace radishstep;
using namespace radishstep::forward;
using namespace std::chrono_literals;

using parts = std::vector<std::string>;

/// What shows that an endpoint which lost a request has ended, and what refutes it.
class test_crash_evidence : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_crash_evidence);
    CPPUNIT_TEST(answers_after_a_refused_connection_refute_no_crash);
    CPPUNIT_TEST(refused_connection_that_another_host_saw_counts_as_well);
    CPPUNIT_TEST(refused_connection_restores_a_refuted_crash);
    CPPUNIT_TEST(refused_connection_before_a_loss_does_not_make_it_certain);
    CPPUNIT_TEST(refutations_and_unconfirmed_losses_are_told);
    CPPUNIT_TEST_SUITE_END();

public:
    void lose(const std::string& incarnation, const parts& lost)
    {
        this->now += 1s;
        this->suspects.record_lost_request(incarnation, lost, this->now);
    }

    void answer_two_seconds_later(const std::string& incarnation)
    {
        this->now += 2s;
        this->suspects.record_answer_start(incarnation, {"x"}, this->now);
    }

    bool is_refused(const parts& asked) const { return this->suspects.quarantined_until(asked, this->now).has_value(); }

    // Failure: an engine that was back before its new registration answered under the old one, which refuted its crash;
    // requests that crash engines were let through again after each such answer.
    void answers_after_a_refused_connection_refute_no_crash()
    {
        for (const char* incarnation : {"a", "b"}) {
            this->lose(incarnation, {"p"});
            this->suspects.record_process_end(incarnation, this->now, this->now);
            this->answer_two_seconds_later(incarnation);
        }
        CPPUNIT_ASSERT(this->is_refused({"p"}));
    }

    // Failure: as above, at hosts that learn of the crash and of the refused connection from another one.
    void refused_connection_that_another_host_saw_counts_as_well()
    {
        crash_suspects other;
        for (const char* incarnation : {"a", "b"}) {
            this->lose(incarnation, {"p"});
            this->suspects.record_process_end(incarnation, this->now, this->now);
            other.apply_peer_records(this->suspects.own_records({}), this->now);
            other.record_answer_start(incarnation, {"x"}, this->now + 2s);
        }
        CPPUNIT_ASSERT(other.quarantined_until({"p"}, this->now).has_value());
    }

    // Guards against the order of the news: the answer of the new process may be seen before the other host's report.
    void refused_connection_restores_a_refuted_crash()
    {
        for (const char* incarnation : {"a", "b"}) {
            this->lose(incarnation, {"p"});
            const time_point refused_at = this->now;
            this->suspects.record_endpoint_down(incarnation, this->now);
            this->answer_two_seconds_later(incarnation);
            CPPUNIT_ASSERT(!this->is_refused({"p"}));
            this->suspects.record_process_end(incarnation, refused_at, this->now);
        }
        CPPUNIT_ASSERT(this->is_refused({"p"}));
    }

    // Guards against refused sound callers: the process that refused was back when it broke the connection.
    void refused_connection_before_a_loss_does_not_make_it_certain()
    {
        for (const char* incarnation : {"a", "b"}) {
            this->suspects.record_process_end(incarnation, this->now, this->now);
            this->now += crash_suspects::late_loss_margin;
            this->lose(incarnation, {"p"});
            this->answer_two_seconds_later(incarnation);
        }
        CPPUNIT_ASSERT(!this->is_refused({"p"}));
    }

    // Guards against evidence that is dropped without a trace.
    void refutations_and_unconfirmed_losses_are_told()
    {
        std::vector<std::string> told;
        this->suspects.on_refutation = [&](const crash_record& record) { told.push_back("not " + record.incarnation); };
        this->suspects.on_unconfirmed = [&](const crash_record& lost) { told.push_back(lost.incarnation + "?"); };
        this->lose("a", {"p"});
        this->suspects.record_endpoint_down("a", this->now);
        this->answer_two_seconds_later("a");
        this->answer_two_seconds_later("a");
        this->lose("b", {"p"});
        this->now += crash_suspects::confirmation_time + 1ms;
        this->suspects.expire(this->now);
        this->suspects.expire(this->now);
        CPPUNIT_ASSERT(told == (std::vector<std::string>{"not a", "b?"}));
    }

private:
    time_point now = runtime_clock::now();
    crash_suspects suspects;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_crash_evidence);

} // namespace
