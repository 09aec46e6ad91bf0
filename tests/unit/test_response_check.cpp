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
    CPPUNIT_TEST_SUITE_END();

public:
    static bool is_sound(unsigned status)
    {
        const auto checked = check_response_head({status, {}, ""});
        CPPUNIT_ASSERT(checked || checked.error().kind == error_kind::protocol);
        return checked.has_value();
    }

    // Guards against single statuses that are let through: three digits are all that a head can hold.
    void only_final_statuses_are_sound()
    {
        constexpr unsigned statuses = 1'000;
        for (unsigned status = 0; status < statuses; ++status)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::to_string(status), status >= 200 && status < 600,
                                         is_sound(status));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_response_check);

} // namespace
