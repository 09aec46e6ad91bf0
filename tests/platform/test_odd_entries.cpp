#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

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
    CPPUNIT_TEST(deeply_nested_entry_neither_ends_the_process_nor_grows_its_memory);
    CPPUNIT_TEST(entry_with_a_huge_number_of_slots_gets_no_requests);
    CPPUNIT_TEST(entry_with_a_malformed_address_costs_no_request);
    CPPUNIT_TEST(line_break_in_an_id_adds_no_header_to_calls);
    CPPUNIT_TEST(changes_after_odd_entries_are_followed);
    CPPUNIT_TEST(entry_that_became_odd_during_an_outage_gets_no_time_to_return);
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

    // Guards against a parser that recurses, or builds the whole document, for each level of an entry.
    void deeply_nested_entry_neither_ends_the_process_nor_grows_its_memory()
    {
        constexpr std::size_t levels = 250'000;
        constexpr long max_growth_mb = 12;
        this->start();
        const long before_mb = this->site->gateway()->peak_memory_mb();
        this->put_odd_entry(std::string(levels, '['));
        this->put_odd_entry(std::string(levels, '[') + std::string(levels, ']'), "servers/odder");
        std::this_thread::sleep_for(1s);
        CPPUNIT_ASSERT(this->site->gateway()->is_running());
        this->check_requests(4);
        CPPUNIT_ASSERT_LESS(before_mb + max_growth_mb, this->site->gateway()->peak_memory_mb());
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

    // Guards against calls to an address that cannot be one; they would count as sent and end requests that may run
    // only once.
    void entry_with_a_malformed_address_costs_no_request()
    {
        int number = 0;
        for (const char* address : {"127.0.0.1:70000", "127.0.0.1", "127.0.0.1:0", "localhost:80", "::"})
            this->put_odd_entry(this->entry_with("address", address), odd_key + std::to_string(number++));
        this->start();
        this->check_requests(20);
    }

    // Guards against header injection by the key of an entry.
    void line_break_in_an_id_adds_no_header_to_calls()
    {
        standin_engine& engine = this->site->engine("p0");
        this->put_odd_entry(engine.entry(), "servers/p0\r\nInjected: 1");
        this->start();
        this->check_requests(20);
        const auto is_injected = [](const engine_call& call) {
            return !http::find_header(call.request.lines, "Injected").empty();
        };
        CPPUNIT_ASSERT(std::ranges::none_of(engine.calls(), is_injected));
    }

    // Guards against a list that stops being followed, or a process that ends, after an entry that cannot be used.
    void changes_after_odd_entries_are_followed()
    {
        const std::vector<std::string> entries{
            "",
            "\xff\xfe",
            R"({"slots":1e999})",
            this->entry_with("slots", 1e300),
            this->entry_with("slots", -5),
            this->entry_with("slots", true),
            this->entry_with("born", 1e300),
            this->entry_with("born", 18'446'744'073'709'551'615ULL),
            this->entry_with("state", std::string(100'000, 'x')),
            this->entry_with("zone", json::array()),
            this->entry_with("address", "127.0.0.1:99999999999999999999"),
        };
        for (std::size_t i = 0; i < entries.size(); ++i)
            this->put_odd_entry(entries[i], "servers/first-" + std::to_string(i));
        this->start();
        for (std::size_t i = 0; i < entries.size(); ++i)
            this->put_odd_entry(entries[i], "servers/later-" + std::to_string(i));
        standin_engine& draining = this->site->engine("p0");
        this->site->store->put(draining.key(), draining.entry("draining"));
        std::this_thread::sleep_for(1s);
        const std::size_t before = draining.calls().size();
        this->check_requests(10);
        CPPUNIT_ASSERT_EQUAL(before, draining.calls().size());
        this->site->store->remove(this->site->engine("p1").key());
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/plain/1") == 503U; }, 2s));
        this->site->store->put(draining.key(), draining.entry());
        CPPUNIT_ASSERT(wait_until([this] { return this->status_of("/plain/1") == 200U; }, 2s));
        CPPUNIT_ASSERT(this->site->gateway()->is_running());
    }

    // Guards against the time that missing entries get after an outage, for an entry that is there and names nothing.
    void entry_that_became_odd_during_an_outage_gets_no_time_to_return()
    {
        this->start();
        this->site->store->set_fault(store_fault::reset);
        CPPUNIT_ASSERT(wait_until(
            [this] { return this->site->log().find("keyvalue_lost prefix=servers/") != std::string::npos; }));
        standin_engine& odd = this->site->engine("p0");
        this->site->store->put(odd.key(), this->entry_with("slots", -1));
        this->site->store->set_fault(store_fault::none);
        CPPUNIT_ASSERT(wait_until(
            [this] { return this->site->log().find("endpoint_unusable key=servers/p0") != std::string::npos; }, 5s));
        const std::size_t before = odd.calls().size();
        this->check_requests(10);
        CPPUNIT_ASSERT_EQUAL(before, odd.calls().size());
    }

private:
    std::unique_ptr<platform_site> site;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_odd_entries);

} // namespace
