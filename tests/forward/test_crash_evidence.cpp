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
