#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/server.h"
#include "platform_site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

/// The stand-in site itself: a test that fails for its harness says nothing of the gateway.
class test_site : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_site);
    CPPUNIT_TEST(address_of_a_host_is_given_to_nobody_else);
    CPPUNIT_TEST_SUITE_END();

public:
    void address_of_a_host_is_given_to_nobody_else()
    {
        const platform_site site;
        boost::asio::io_context io;
        boost::asio::ip::tcp::acceptor other{io, boost::asio::ip::tcp::v4()};
        boost::system::error_code failure;
        other.bind(*http::parse_address(site.callers_address()), failure);
        CPPUNIT_ASSERT_EQUAL(boost::system::error_code{boost::asio::error::address_in_use}, failure);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(test_site);
