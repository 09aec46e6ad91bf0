#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <vector>

#include "forward/retry_budget.h"

namespace {

using namespace radishstep;
using namespace radishstep::forward;
using namespace std::chrono_literals;

constexpr retry_limits limits{.ratio = 0.5, .window = 10s, .slack = 30};

/// A few hosts that share a budget and hear nothing of each other.
struct shared_budget
{
    static constexpr std::size_t hosts = 3;

    shared_budget()
    {
        for (retry_budget& budget : this->budgets)
            budget.configure(limits, hosts);
    }

    void receive(std::size_t host, int count)
    {
        for (int i = 0; i < count; ++i) {
            this->budgets[host].record_request("s", this->now);
            this->requests.push_back(this->now);
        }
    }

    /// Sends as many extra calls as the host may.
    void spend(std::size_t host)
    {
        while (this->budgets[host].try_spend("s", this->now) && this->is_within())
            this->extras.push_back(this->now);
    }

    /// The published rule: a window's extra calls, against the requests of that window, of the one before it or of
    /// the one half a window before it, whichever has most.
    bool is_within() const
    {
        const auto requests =
            std::max({this->in_window(this->requests, 0ms), this->in_window(this->requests, limits.window),
                      this->in_window(this->requests, limits.window / 2)});
        return static_cast<double>(this->in_window(this->extras, 0ms)) <=
               limits.ratio * static_cast<double>(requests) + limits.slack;
    }

    /// Returns how many fall into the window that ended `ago`.
    std::ptrdiff_t in_window(const std::vector<time_point>& times, milliseconds ago) const
    {
        const time_point end = this->now - ago;
        return std::ranges::count_if(times, [end](time_point at) { return at <= end && at + limits.window >= end; });
    }

    std::array<retry_budget, hosts> budgets;
    std::vector<time_point> requests;
    std::vector<time_point> extras;
    time_point now{100s};
};

/// All orders of what hosts receive and spend, up to a depth.
class test_budget_exploration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_budget_exploration);
    CPPUNIT_TEST(hosts_that_hear_nothing_of_each_other_stay_within_the_budget);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { this->visited = 0; }

    void explore(const shared_budget& at, int depth)
    {
        ++this->visited;
        CPPUNIT_ASSERT(at.is_within());
        if (depth == 0)
            return;
        for (std::size_t host = 0; host < shared_budget::hosts; ++host) {
            shared_budget spending = at;
            spending.spend(host);
            this->explore(spending, depth - 1);
            shared_budget receiving = at;
            receiving.receive(host, 7);
            this->explore(receiving, depth - 1);
        }
        for (const milliseconds pause : {3'000ms, 11'000ms}) {
            shared_budget later = at;
            later.now += pause;
            this->explore(later, depth - 1);
        }
    }

    void hosts_that_hear_nothing_of_each_other_stay_within_the_budget()
    {
        constexpr int depth = 5;
        this->explore(shared_budget{}, depth);
        CPPUNIT_ASSERT(this->visited > 20'000);
    }

private:
    int visited = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(test_budget_exploration);
