#include <cppunit/extensions/HelperMacros.h>

#include "config/config_document.h"
#include "config/config_reader.h"

namespace {

using namespace radishstep;

const std::string valid_base = R"(region = "r"
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

config_read_result read(const std::string& base, const std::string& overlay = "")
{
    return read_config("site", {"base.toml", base}, {"site.toml", overlay});
}

std::string replace_first(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

class test_config : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_config);
    CPPUNIT_TEST(valid_configuration_has_no_findings);
    CPPUNIT_TEST(overlay_changes_only_its_own_keys);
    CPPUNIT_TEST(overlay_value_equal_to_base_gives_a_warning);
    CPPUNIT_TEST(findings_name_file_line_key_and_remedy);
    CPPUNIT_TEST(invalid_values_give_findings_with_remedy);
    CPPUNIT_TEST(malformed_toml_gives_one_finding_with_its_line);
    CPPUNIT_TEST(document_round_trips_through_json);
    CPPUNIT_TEST(malformed_documents_give_bad_config_errors);
    CPPUNIT_TEST(difference_lists_changed_keys);
    CPPUNIT_TEST(service_paths_match_whole_segments);
    CPPUNIT_TEST_SUITE_END();

    void valid_configuration_has_no_findings()
    {
        const config_read_result read_result = read(valid_base);
        CPPUNIT_ASSERT(read_result.is_usable());
        CPPUNIT_ASSERT(read_result.findings.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read_result.config.pools.at(0).endpoints.size());
        // A TOML table is read in the order of its keys, so d1 comes before p1.
        CPPUNIT_ASSERT_EQUAL(20, read_result.config.pools.at(0).endpoints.at(0).slots);
        CPPUNIT_ASSERT(read_result.config.find_pool_for_model("m") != nullptr);
    }

    void overlay_changes_only_its_own_keys()
    {
        const config_read_result read_result = read(valid_base, "[pools.p.endpoints.d1]\nslots = 7\n");
        CPPUNIT_ASSERT(read_result.is_usable());
        CPPUNIT_ASSERT_EQUAL(7, read_result.config.pools.at(0).endpoints.at(0).slots);
        CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.2:9000"}, read_result.config.pools.at(0).endpoints.at(0).address);
    }

    void overlay_value_equal_to_base_gives_a_warning()
    {
        const config_read_result read_result = read(valid_base, "[pools.p.endpoints.d1]\nslots = 20\n");
        CPPUNIT_ASSERT(read_result.is_usable());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read_result.findings.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"site.toml"}, read_result.findings.at(0).file);
        CPPUNIT_ASSERT_EQUAL(2U, read_result.findings.at(0).line);
    }

    void findings_name_file_line_key_and_remedy()
    {
        const config_read_result read_result = read(replace_first(valid_base, "slots = 20", "slots = -1"));
        CPPUNIT_ASSERT(!read_result.is_usable());
        const config_finding& finding = read_result.findings.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string{"base.toml:13: error: pools.p.endpoints.d1.slots: is out of range "
                                         "(remedy: write a whole number from 1 to 4096)"},
                             describe(finding));
    }

    void invalid_values_give_findings_with_remedy()
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
            const config_read_result read_result = read(replace_first(valid_base, from, to));
            CPPUNIT_ASSERT_MESSAGE(to, !read_result.is_usable());
            CPPUNIT_ASSERT_MESSAGE(to, !read_result.findings.at(0).remedy.empty());
        }
    }

    void malformed_toml_gives_one_finding_with_its_line()
    {
        const config_read_result read_result = read("region = \"r\"\nzones = [\n");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, read_result.findings.size());
        CPPUNIT_ASSERT(read_result.findings.at(0).line >= 2);
    }

    void document_round_trips_through_json()
    {
        config_document document{7, "eva", "why", 123, valid_base, {{"site", "x = 1\n"}}};
        CPPUNIT_ASSERT(parse_config_document(to_json(document)) == document);
    }

    void malformed_documents_give_bad_config_errors()
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

    void service_paths_match_whole_segments()
    {
        const site_config config = read(valid_base).config;
        CPPUNIT_ASSERT(config.find_service_for_path("/s/1") != nullptr);
        CPPUNIT_ASSERT(config.find_service_for_path("/s") != nullptr);
        CPPUNIT_ASSERT(config.find_service_for_path("/sx") == nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_config);

} // namespace
