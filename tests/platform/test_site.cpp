#include <sys/socket.h>
#include <unistd.h>

#include <array>

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
    CPPUNIT_TEST(connection_that_the_site_ends_is_not_held_by_a_host);
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

    void connection_that_the_site_ends_is_not_held_by_a_host()
    {
        platform_site site;
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()));
        site.start_gateway();
        CPPUNIT_ASSERT(site.wait_until_ready());
        close(ends[1]);
        char byte = 0;
        const ssize_t left = recv(ends[0], &byte, 1, MSG_DONTWAIT);
        close(ends[0]);
        CPPUNIT_ASSERT_EQUAL(ssize_t{0}, left);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(test_site);
