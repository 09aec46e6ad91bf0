#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>

#include "membership/member_table.h"
#include "membership/member_wire.h"
#include "wire/codec.h"
#include "wire/generated/radishstep_types.h"

namespace {

using namespace radishstep;
using namespace std::chrono_literals;

/// A group of member tables connected by a simulated network: a message is delivered at once, and dropped
/// when its target is stopped.
class simulated_hosts
{
public:
    explicit simulated_hosts(int size)
    {
        for (int i = 1; i <= size; ++i) {
            member self;
            self.host = "h" + std::to_string(i);
            self.region = "r";
            self.address = "10.0.0." + std::to_string(i);
            self.gossip_port = 1;
            self.incarnation = 100;
            self.state = member_state::alive;
            this->tables[self.address] = std::make_unique<member_table>(self, gossip_options{}, i);
            this->tables[self.address]->add_seed("10.0.0.1", 1);
        }
    }

    void run(runtime_clock::duration span)
    {
        const time_point until = this->now + span;
        for (; this->now < until; this->now += 50ms) {
            for (auto& [address, table] : this->tables) {
                if (!this->stopped.contains(address))
                    this->deliver(table->tick(this->now));
            }
        }
    }

    void deliver(const outgoing_messages& messages)
    {
        for (const outgoing_message& outgoing : messages) {
            const auto target = this->tables.find(outgoing.address);
            if (target == this->tables.end() || this->stopped.contains(outgoing.address))
                continue;
            this->deliver(target->second->receive(outgoing.message, this->now));
        }
    }

    member_table& table_of(int host) { return *this->tables.at("10.0.0." + std::to_string(host)); }

    std::map<std::string, std::unique_ptr<member_table>> tables;
    std::set<std::string> stopped;
    time_point now{std::chrono::hours{1}};
};

member_state state_of(const member_table& table, const std::string& host)
{
    for (const member& known : table.members()) {
        if (known.host == host)
            return known.state;
    }
    return member_state::dead;
}

class test_membership : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_membership);
    CPPUNIT_TEST(hosts_discover_each_other_through_one_seed);
    CPPUNIT_TEST(stopped_host_is_declared_dead_within_seven_seconds);
    CPPUNIT_TEST(paused_host_returns_and_no_host_is_declared_dead);
    CPPUNIT_TEST(joining_host_owns_no_cells_until_joining_is_finished);
    CPPUNIT_TEST(leaving_host_owns_no_cells);
    CPPUNIT_TEST(new_config_version_is_announced_at_once);
    CPPUNIT_TEST(host_that_refuses_connections_is_declared_dead_at_once);
    CPPUNIT_TEST(gossip_message_round_trips_through_wire_format);
    CPPUNIT_TEST(malformed_datagrams_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    void hosts_discover_each_other_through_one_seed()
    {
        simulated_hosts hosts{8};
        hosts.run(5s);
        for (int i = 1; i <= 8; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t{8}, hosts.table_of(i).members().size());
    }

    void stopped_host_is_declared_dead_within_seven_seconds()
    {
        simulated_hosts hosts{8};
        hosts.run(5s);
        hosts.stopped.insert("10.0.0.3");
        hosts.run(7s);
        for (int i = 1; i <= 8; ++i) {
            if (i != 3)
                CPPUNIT_ASSERT(state_of(hosts.table_of(i), "h3") == member_state::dead);
        }
    }

    void paused_host_returns_and_no_host_is_declared_dead()
    {
        simulated_hosts hosts{4};
        hosts.run(5s);
        hosts.stopped.insert("10.0.0.2");
        hosts.run(6s);
        hosts.stopped.clear();
        hosts.run(5s);
        for (int i = 1; i <= 4; ++i) {
            for (int j = 1; j <= 4; ++j)
                CPPUNIT_ASSERT(state_of(hosts.table_of(i), "h" + std::to_string(j)) == member_state::alive);
        }
    }

    void joining_host_owns_no_cells_until_joining_is_finished()
    {
        member self;
        self.host = "h9";
        self.region = "r";
        member_table table{self, gossip_options{}, 1};
        CPPUNIT_ASSERT_EQUAL(std::string{}, find_cell_owner("c", table.members(), "r"));
        table.finish_joining();
        CPPUNIT_ASSERT_EQUAL(std::string{"h9"}, find_cell_owner("c", table.members(), "r"));
    }

    void leaving_host_owns_no_cells()
    {
        simulated_hosts hosts{3};
        hosts.run(3s);
        hosts.deliver(hosts.table_of(2).leave());
        hosts.run(1s);
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(find_cell_owner("c" + std::to_string(i), hosts.table_of(1).members(), "r") != "h2");
    }

    void new_config_version_is_announced_at_once()
    {
        simulated_hosts hosts{3};
        hosts.run(3s);
        std::int64_t reported_version = 0;
        hosts.table_of(3).set_newer_config_hook(
            [&reported_version](const member&, std::int64_t version) { reported_version = version; });
        hosts.deliver(hosts.table_of(1).set_config_version(7));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, reported_version);
    }

    void host_that_refuses_connections_is_declared_dead_at_once()
    {
        simulated_hosts hosts{3};
        hosts.run(3s);
        hosts.stopped.insert("10.0.0.3");
        hosts.deliver(hosts.table_of(1).declare_dead("h3", 100, hosts.now));
        CPPUNIT_ASSERT(state_of(hosts.table_of(1), "h3") == member_state::dead);
        CPPUNIT_ASSERT(state_of(hosts.table_of(2), "h3") == member_state::dead);
        hosts.deliver(hosts.table_of(1).declare_dead("h2", 99, hosts.now));
        CPPUNIT_ASSERT(state_of(hosts.table_of(1), "h2") == member_state::alive);
    }

    void gossip_message_round_trips_through_wire_format()
    {
        gossip_message message;
        message.kind = gossip_kind::probe_request;
        message.sequence = 9;
        message.target = "h2";
        message.sender.host = "h1";
        message.updates.push_back(message.sender);
        message.config_version = 4;
        const auto decoded = wire::decode_gossip(wire::encode(wire::to_wire(message)));
        CPPUNIT_ASSERT(decoded);
        CPPUNIT_ASSERT(wire::from_wire(*decoded) == message);
    }

    void malformed_datagrams_are_rejected()
    {
        CPPUNIT_ASSERT(!wire::decode_gossip("\xff\xff\xff\xff"));
        const std::string good = wire::encode(wire::to_wire(gossip_message{}));
        for (std::size_t size = 0; size + 1 < good.size(); ++size)
            static_cast<void>(wire::decode_gossip(std::string_view{good}.substr(0, size)));
        CPPUNIT_ASSERT(!wire::decode_message(std::string(1, '\x1c') + "\xff\xff\xff\xff\x0f"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_membership);

} // namespace
