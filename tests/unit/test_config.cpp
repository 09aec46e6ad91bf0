#include <cppunit/extensions/HelperMacros.h>

#include "config/config_document.h"
#include "config/config_reader.h"

namespace {

using namespace radishstep;

const std::string good_base = R"(region = "r"
zones = ["za", "zb"]
[pools.p]
models = ["m"]
[pools.p.endpoints.p1]
zone = "za"
role = "prefill"
address = "10.0.0.1:9000"
[pools.p.endpoints.d1]
zone = "zb"
role = "decode"
address = "10.0.0.2:9000"
slots = 20
[services.s]
path = "/s"
non_idempotent_methods = ["POST"]
[services.s.endpoints.s1]
zone = "za"
address = "10.0.0.3:9100"
[clients.c]
key_sha256 = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
pools = ["p"]
services = ["s"]
)";

config_reading read(const std::string& base, const std::string& overlay = "")
{
    return read_config("site", {"base.toml", base}, {"site.toml", overlay});
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

class test_config : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_config);
    CPPUNIT_TEST(good_configuration_is_read);
    CPPUNIT_TEST(overlay_changes_only_what_it_names);
    CPPUNIT_TEST(overlay_that_repeats_the_base_is_warned_of);
    CPPUNIT_TEST(findings_name_file_line_key_and_remedy);
    CPPUNIT_TEST(bad_values_are_findings);
    CPPUNIT_TEST(broken_toml_is_one_finding_with_its_line);
    CPPUNIT_TEST(document_survives_json);
    CPPUNIT_TEST(broken_documents_are_typed_errors);
    CPPUNIT_TEST(difference_lists_changed_keys);
    CPPUNIT_TEST(paths_match_whole_segments);
    CPPUNIT_TEST_SUITE_END();

    void good_configuration_is_read()
    {
        const config_reading reading = read(good_base);
        CPPUNIT_ASSERT(reading.is_usable());
        CPPUNIT_ASSERT(reading.findings.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, reading.config.pools.at(0).endpoints.size());
        CPPUNIT_ASSERT_EQUAL(20, reading.config.pools.at(0).endpoints.at(0).slots);
        CPPUNIT_ASSERT(reading.config.pool_of_model("m") != nullptr);
    }

    void overlay_changes_only_what_it_names()
    {
        const config_reading reading = read(good_base, "[pools.p.endpoints.d1]\nslots = 7\n");
        CPPUNIT_ASSERT(reading.is_usable());
        CPPUNIT_ASSERT_EQUAL(7, reading.config.pools.at(0).endpoints.at(0).slots);
        CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.2:9000"}, reading.config.pools.at(0).endpoints.at(0).address);
    }

    void overlay_that_repeats_the_base_is_warned_of()
    {
        const config_reading reading = read(good_base, "[pools.p.endpoints.d1]\nslots = 20\n");
        CPPUNIT_ASSERT(reading.is_usable());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reading.findings.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"site.toml"}, reading.findings.at(0).file);
        CPPUNIT_ASSERT_EQUAL(2U, reading.findings.at(0).line);
    }

    void findings_name_file_line_key_and_remedy()
    {
        const config_reading reading = read(replaced(good_base, "slots = 20", "slots = -1"));
        CPPUNIT_ASSERT(!reading.is_usable());
        const config_finding& finding = reading.findings.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string{"base.toml:13: error: pools.p.endpoints.d1.slots: is out of range "
                                         "(remedy: write a whole number from 1 to 4096)"},
                             describe(finding));
    }

    void bad_values_are_findings()
    {
        const std::vector<std::pair<std::string, std::string>> changes{
            {"role = \"decode\"", "role = \"writer\""},
            {"zone = \"zb\"", "zone = \"zz\""},
            {"10.0.0.1:9000", "10.0.0.1"},
            {"pools = [\"p\"]", "pools = [\"q\"]"},
            {"path = \"/s\"", "path = \"/v1/s\""},
            {"models = [\"m\"]", "models = []"},
            {"models = [\"m\"]", "modles = [\"m\"]"},
            {"region = \"r\"", "region = 3"},
            {"aaaaaaaa", "a"},
            {"services = [\"s\"]", "services = \"s\""},
        };
        for (const auto& [from, to] : changes) {
            const config_reading reading = read(replaced(good_base, from, to));
            CPPUNIT_ASSERT_MESSAGE(to, !reading.is_usable());
            CPPUNIT_ASSERT_MESSAGE(to, !reading.findings.at(0).remedy.empty());
        }
    }

    void broken_toml_is_one_finding_with_its_line()
    {
        const config_reading reading = read("region = \"r\"\nzones = [\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reading.findings.size());
        CPPUNIT_ASSERT(reading.findings.at(0).line >= 2);
    }

    void document_survives_json()
    {
        config_document document{7, "eva", "why", 123, good_base, {{"site", "x = 1\n"}}};
        CPPUNIT_ASSERT(parse_config_document(to_json(document)) == document);
    }

    void broken_documents_are_typed_errors()
    {
        for (const char* const text : {"", "[]", "{}", "{\"version\":\"x\",\"base\":\"\",\"overlays\":{}}", "\xff"}) {
            const auto parsed = parse_config_document(text);
            CPPUNIT_ASSERT(!parsed);
            CPPUNIT_ASSERT(parsed.error().kind == error_kind::bad_config);
        }
    }

    void difference_lists_changed_keys()
    {
        const std::string change = config_difference({"a", "x = 1\ny = 2\n"}, {"b", "x = 3\nz = 4\n"});
        CPPUNIT_ASSERT_EQUAL(std::string{"- x = 1\n+ x = 3\n- y = 2\n+ z = 4\n"}, change);
    }

    void paths_match_whole_segments()
    {
        const site_config config = read(good_base).config;
        CPPUNIT_ASSERT(config.service_of_path("/s/1") != nullptr);
        CPPUNIT_ASSERT(config.service_of_path("/s") != nullptr);
        CPPUNIT_ASSERT(config.service_of_path("/sx") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_config);

} // namespace
