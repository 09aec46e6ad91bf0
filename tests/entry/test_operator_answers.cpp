#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include "base/text.h"
#include "process.h"
#include "status_relay.h"

namespace {

using namespace radishstep::testing;

constexpr int exit_failed = 1;
constexpr const char* invalid_status = "its status is 000";

/// Answers with an invalid status to radishctl, from the store and from the hosts.
class test_operator_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_operator_answers);
    CPPUNIT_TEST(status_000_of_a_host_is_reported_as_an_error);
    CPPUNIT_TEST(status_000_of_the_store_is_reported_as_an_error);
    CPPUNIT_TEST(status_000_of_the_store_accepts_no_configuration);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        this->folder = std::filesystem::temp_directory_path() / ("radishstep-ctl-" + std::to_string(getpid()));
        std::filesystem::create_directories(this->folder / "overlays");
    }

    void tearDown() override { std::filesystem::remove_all(this->folder); }

    /// Runs radishctl and returns its output, both streams, and its exit code.
    std::pair<std::string, int> run(const std::vector<std::string>& arguments)
    {
        const std::string output = this->folder / "output";
        std::filesystem::remove(output);
        process command{"radishctl", arguments, output};
        constexpr int most_seconds = 20;
        const int code = command.wait(most_seconds);
        std::ifstream file{output};
        return {std::string{std::istreambuf_iterator<char>{file}, {}}, code};
    }

    void check_failure(const std::vector<std::string>& arguments)
    {
        const auto [output, code] = this->run(arguments);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(output, exit_failed, code);
        CPPUNIT_ASSERT_MESSAGE(output, output.find(invalid_status) != std::string::npos);
    }

    // Guards against pages of hosts that operators read, and drains that they believe, from answers with status 000.
    void status_000_of_a_host_is_reported_as_an_error()
    {
        const status_relay host{"127.0.0.1:0", "", always("000"), R"({"members":[],"draining":true})"};
        this->check_failure({"status", "--broker=" + host.address()});
        this->check_failure({"timeline", "--broker=" + host.address()});
        this->check_failure({"drain", host.address()});
    }

    // Guards against a configuration that operators read from an answer with status 000.
    void status_000_of_the_store_is_reported_as_an_error()
    {
        const status_relay store{"127.0.0.1:0", "", always("000"), stored_entry()};
        this->check_failure({"config", "show", "--key-value=" + store.address()});
        this->check_failure({"config", "history", "--key-value=" + store.address()});
    }

    // Guards against a change that operators take for accepted since the write was answered "true" with status 000.
    void status_000_of_the_store_accepts_no_configuration()
    {
        std::ofstream{this->folder / "base.toml"} << "region = \"sk-west\"\nzones = [\"sk-west-a\"]\n";
        std::ofstream{this->folder / "overlays" / "sk-west.toml"} << "";
        const status_relay store{"127.0.0.1:0", "",
                                 [](const radishstep::http::request& request) {
                                     return relay_change{request.method == "PUT" ? "000" : "404"};
                                 },
                                 "true"};
        const auto [output, code] =
            this->run({"config", "apply", "--base", this->folder / "base.toml", "--overlays", this->folder / "overlays",
                       "--author", "test", "--note", "a note", "--key-value=" + store.address()});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(output, exit_failed, code);
        CPPUNIT_ASSERT_MESSAGE(output, output.find("accepted as version") == std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(output, output.find("did not confirm") != std::string::npos);
    }

private:
    static std::string stored_entry()
    {
        const nlohmann::json document{{"version", 7}, {"base", ""}, {"overlays", nlohmann::json::object()}};
        return nlohmann::json::array({{{"Value", radishstep::to_base64(document.dump())}, {"ModifyIndex", 3}}}).dump();
    }

    std::filesystem::path folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_operator_answers);

} // namespace
