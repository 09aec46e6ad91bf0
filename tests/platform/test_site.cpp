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

/// Checks the simulated site itself, so that its faults aren't taken for faults of the gateway.
class test_site : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_site);
    CPPUNIT_TEST(host_address_cannot_be_bound_by_other_sockets);
    CPPUNIT_TEST(connection_closed_by_the_site_is_not_kept_open_by_a_gateway);
    CPPUNIT_TEST_SUITE_END();

public:
    void host_address_cannot_be_bound_by_other_sockets()
    {
        const platform_site site;
        boost::asio::io_context io;
        boost::asio::ip::tcp::acceptor other{io, boost::asio::ip::tcp::v4()};
        boost::system::error_code failure;
        other.bind(*http::parse_address(site.callers_address()), failure);
        CPPUNIT_ASSERT_EQUAL(boost::system::error_code{boost::asio::error::address_in_use}, failure);
    }

    void connection_closed_by_the_site_is_not_kept_open_by_a_gateway()
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
