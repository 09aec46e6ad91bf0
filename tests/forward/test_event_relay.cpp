#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "forward/event_relay.h"

namespace {

using namespace radishstep;
using forward::event_relay;

/// Events of one or several runs of a stream, without a network.
class test_event_relay : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_event_relay);
    CPPUNIT_TEST(bytes_of_an_unfinished_event_are_kept_back);
    CPPUNIT_TEST(events_may_end_in_either_line_end);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against torn events that are forwarded.
    void bytes_of_an_unfinished_event_are_kept_back()
    {
        event_relay relay{std::nullopt};
        std::string forwarded;
        for (const char byte : std::string{"id: 1\ndata: a\n\nid: 2\nda"})
            forwarded += relay.push(std::string{byte});
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\ndata: a\n\n"}, forwarded);
        CPPUNIT_ASSERT(relay.has_partial_event());
        relay.discard_partial_event();
        CPPUNIT_ASSERT(!relay.has_partial_event());
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 2\n\n"}, relay.push("id: 2\n\n"));
    }

    // Guards against streams with CR LF line ends of which no event is found.
    void events_may_end_in_either_line_end()
    {
        event_relay relay{std::nullopt};
        CPPUNIT_ASSERT_EQUAL(std::string{"id: 1\r\ndata: a\r\n\r\n"}, relay.push("id: 1\r\ndata: a\r\n\r\n\r"));
        CPPUNIT_ASSERT(!relay.has_partial_event());
        CPPUNIT_ASSERT(relay.last_event_id() == 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_event_relay);

} // namespace
