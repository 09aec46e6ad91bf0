#include <cppunit/extensions/HelperMacros.h>

#include "http/response_check.h"

namespace {

using namespace radishstep;
using namespace radishstep::http;

/// Which heads of responses may be passed on.
class test_response_check : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_response_check);
    CPPUNIT_TEST(only_final_statuses_are_sound);
    CPPUNIT_TEST(only_chunks_that_are_decoded_are_sound);
    CPPUNIT_TEST_SUITE_END();

public:
    static bool is_sound(unsigned status, const headers& lines, bool is_read_in_chunks)
    {
        const auto checked = check_response_head({status, lines, ""}, is_read_in_chunks);
        CPPUNIT_ASSERT(checked || checked.error().kind == error_kind::protocol);
        return checked.has_value();
    }

    // Guards against single statuses that are let through: three digits are all that a head can hold.
    void only_final_statuses_are_sound()
    {
        constexpr unsigned statuses = 1'000;
        for (unsigned status = 0; status < statuses; ++status)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(status), status >= 200 && status < 600,
                                         is_sound(status, {}, false));
    }

    // Guards against a coding that is read as if it were chunks, and chunks that are not read as such.
    void only_chunks_that_are_decoded_are_sound()
    {
        constexpr unsigned status_ok = 200;
        for (const char* value : {"chunked", "CHUNKED", " chunked\t", ", chunked", "chunked,,"}) {
            CPPUNIT_ASSERT_MESSAGE(value, is_sound(status_ok, {{"transfer-encoding", value}}, true));
            CPPUNIT_ASSERT_MESSAGE(value, !is_sound(status_ok, {{"transfer-encoding", value}}, false));
        }
        for (const char* value : {"", ",", "gzip", "xchunked", "chunkedx", "chunk", "\"chunked\"", "chunked;a=b",
                                  "chunked x", "gzip, chunked", "chunked, gzip", "chunked, chunked"}) {
            CPPUNIT_ASSERT_MESSAGE(value, !is_sound(status_ok, {{"Transfer-Encoding", value}}, true));
            CPPUNIT_ASSERT_MESSAGE(value, !is_sound(status_ok, {{"Transfer-Encoding", value}}, false));
        }
        const header chunks{"Transfer-Encoding", "chunked"};
        CPPUNIT_ASSERT(!is_sound(status_ok, {{"Transfer-Encoding", "gzip"}, chunks}, true));
        CPPUNIT_ASSERT(!is_sound(status_ok, {chunks, {"Transfer-Encoding", "gzip"}}, true));
        CPPUNIT_ASSERT(!is_sound(status_ok, {chunks, chunks}, true));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_response_check);

} // namespace
