#include <cppunit/extensions/HelperMacros.h>

#include <nlohmann/json.hpp>

#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;
using nlohmann::json;

constexpr const char* odd_key = "servers/odd";

/// A gateway process beside entries of other writers: each names no endpoint, and the others keep serving.
class test_odd_entries : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_odd_entries);
    CPPUNIT_TEST(entry_with_a_huge_number_of_slots_gets_no_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { this->site = std::make_unique<platform_site>(); }

    void tearDown() override { this->site.reset(); }

    void start()
    {
        this->site->start_gateway();
        CPPUNIT_ASSERT(this->site->wait_until_ready());
    }

    unsigned status_of(const std::string& path)
    {
        site_request request;
        request.path = path;
        return this->site->call(request).status;
    }

    /// Returns a plain endpoint's entry with one field replaced.
    std::string entry_with(const char* field, const json& value)
    {
        json entry = json::parse(this->site->engine("p0").entry());
        entry[field] = value;
        return entry.dump();
    }

    void put_odd_entry(const std::string& entry, const std::string& key = odd_key)
    {
        this->site->store->put(key, entry);
    }

    void check_requests(int count)
    {
        for (int i = 0; i < count; ++i)
            CPPUNIT_ASSERT_EQUAL(200U, this->status_of(i % 2 == 0 ? "/once/1" : "/plain/1"));
    }

    // Guards against work and memory in proportion to the slots that an entry claims.
    void entry_with_a_huge_number_of_slots_gets_no_requests()
    {
        this->put_odd_entry(this->entry_with("slots", 2'000'000'000));
        this->start();
        this->check_requests(10);
        CPPUNIT_ASSERT(this->site->gateway()->is_running());
        CPPUNIT_ASSERT(this->site->log().find("slots 2000000000 is out of range") != std::string::npos);
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_odd_entries);

} // namespace
