#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <optional>
#include <vector>

#include "forward/endpoint_directory.h"

namespace {

using namespace radishstep;
using namespace radishstep::forward;
using namespace std::chrono_literals;

/// What the store said last of the one entry.
enum class last_word { nothing, ready, draining, removed, missing };

/// A directory, and what it should hold by the words so far.
struct followed_directory
{
    static endpoint entry(bool is_draining, std::int64_t started)
    {
        endpoint made;
        made.id = "i-1";
        made.service = "app";
        made.started_ms = started;
        made.is_draining = is_draining;
        return made;
    }

    void put(bool is_draining, std::int64_t started)
    {
        this->directory.put("key", entry(is_draining, started));
        this->word = is_draining ? last_word::draining : last_word::ready;
    }

    void remove()
    {
        this->directory.remove("key");
        this->word = last_word::removed;
    }

    void read(std::map<std::string, endpoint> entries)
    {
        const bool is_empty = entries.empty();
        const bool is_draining = !is_empty && entries.begin()->second.is_draining;
        this->directory.replace_all(std::move(entries), this->now);
        if (!is_empty)
            this->word = is_draining ? last_word::draining : last_word::ready;
        else if (this->word == last_word::ready && this->is_in_grace())
            this->word = last_word::missing;
        else if (this->word == last_word::ready)
            this->word = last_word::removed;
    }

    bool is_in_grace() const
    {
        return this->is_away || (this->regained && this->now < *this->regained + endpoint_directory::return_time);
    }

    void pass(milliseconds span)
    {
        this->now += span;
        this->directory.remove_expired(this->now);
        if (this->word == last_word::missing && !this->is_in_grace())
            this->word = last_word::removed;
    }

    void check() const
    {
        const bool is_usable = !this->directory.usable("app").empty();
        CPPUNIT_ASSERT_EQUAL(this->word == last_word::ready || this->word == last_word::missing, is_usable);
        if (is_usable)
            CPPUNIT_ASSERT(this->directory.accepts_work(*this->directory.usable("app").front()));
    }

    endpoint_directory directory;
    last_word word = last_word::nothing;
    bool is_away = false;
    std::optional<time_point> regained;
    time_point now{100s};
};

/// All orders of what the store tells of an endpoint, with outages between, up to a depth.
class test_directory_exploration : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_directory_exploration);
    CPPUNIT_TEST(endpoint_gets_work_by_the_stores_last_word_in_every_order);
    CPPUNIT_TEST_SUITE_END();

public:
    void endpoint_gets_work_by_the_stores_last_word_in_every_order()
    {
        constexpr int depth = 6;
        this->visited = 0;
        this->explore({}, depth);
        CPPUNIT_ASSERT(this->visited > 1'000'000);
    }

private:
    using action = std::function<void(followed_directory&)>;

    static std::vector<action> actions()
    {
        using followed = followed_directory;
        return {
            [](followed& at) { at.put(false, 1); },
            [](followed& at) { at.put(true, 1); },
            [](followed& at) { at.put(false, 2); },
            [](followed& at) { at.remove(); },
            [](followed& at) {
                at.directory.on_store_unavailable();
                at.is_away = true;
            },
            [](followed& at) {
                at.directory.on_store_available(at.now);
                at.is_away = false;
                at.regained = at.now;
            },
            [](followed& at) { at.read({}); },
            [](followed& at) {
                at.read({{"key", followed::entry(false, 1)}});
            },
            [](followed& at) {
                at.read({{"key", followed::entry(true, 1)}});
            },
            [](followed& at) { at.pass(1s); },
            [](followed& at) { at.pass(endpoint_directory::return_time); },
        };
    }

    void explore(const followed_directory& at, int depth)
    {
        static const std::vector<action> all = actions();
        ++this->visited;
        at.check();
        if (depth == 0)
            return;
        for (const action& act : all) {
            followed_directory next = at;
            act(next);
            this->explore(next, depth - 1);
        }
    }

    int visited = 0;
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(test_directory_exploration);
