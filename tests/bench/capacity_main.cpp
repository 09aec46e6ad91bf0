#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

#include "config/config_reader.h"
#include "cpu_time.h"
#include "load/load_report.h"
#include "membership/member_table.h"
#include "membership/member_wire.h"
#include "routing/permit_wire.h"
#include "site.h"
#include "wire/codec.h"
#include "wire/generated/radishstep_types.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

constexpr double us_per_s = 1e6;

double cpu_of(const std::function<void()>& work)
{
    const double before = thread_cpu_seconds();
    work();
    return thread_cpu_seconds() - before;
}

void print(const std::string& name, double value, const std::string& unit)
{
    std::cout << name << " " << value << " " << unit << "\n";
}

member member_number(int number)
{
    member made;
    made.host = "host-" + std::to_string(number);
    made.zone = "sk-west-a";
    made.region = "sk-west";
    made.address = "10.1." + std::to_string(number / 250) + "." + std::to_string(number % 250 + 1);
    made.gossip_port = 7'101;
    made.link_port = 7'100;
    made.incarnation = 1'796'000'000'000 + number;
    made.state = member_state::alive;
    made.admin_urls = made.address + ":7102," + made.address + ":8081";
    return made;
}

/// One member among `size` answers what a second brings: its own probes and those of the others.
void measure_gossip(int size)
{
    constexpr int seconds = 60;
    member_table table{member_number(0), gossip_options{}, 1};
    time_point now{std::chrono::hours{1}};
    for (int i = 1; i < size; ++i) {
        gossip_message updates;
        updates.kind = gossip_kind::announce;
        updates.sender = member_number(i);
        table.receive(updates, now);
    }
    double bytes_out = 0;
    double bytes_in = 0;
    const double cpu = cpu_of([&] {
        const auto count_out = [&](const outgoing_messages& messages) {
            for (const outgoing_message& outgoing : messages)
                bytes_out += static_cast<double>(wire::encode(wire::to_wire(outgoing.message)).size());
        };
        const auto hear = [&](const gossip_message& message) {
            const std::string bytes = wire::encode(wire::to_wire(message));
            bytes_in += static_cast<double>(bytes.size());
            count_out(table.receive(wire::from_wire(*wire::decode_gossip(bytes)), now));
        };
        int peer = 1;
        for (int tick = 0; tick < seconds * 20; ++tick) {
            now += std::chrono::milliseconds{50};
            for (const outgoing_message& outgoing : table.tick(now)) {
                bytes_out += static_cast<double>(wire::encode(wire::to_wire(outgoing.message)).size());
                gossip_message ack = outgoing.message;
                ack.kind = gossip_kind::ack;
                ack.sender = member_number(peer);
                hear(ack);
            }
            // Each member is probed as often as it probes.
            if (tick % 10 != 0)
                continue;
            gossip_message ping;
            ping.kind = gossip_kind::ping;
            ping.sender = member_number(peer = peer % (size - 1) + 1);
            ping.updates = {member_number(1), member_number(2)};
            hear(ping);
        }
    });
    const std::string name = "gossip." + std::to_string(size);
    print(name + ".bytes_out", bytes_out / seconds, "B/s");
    print(name + ".bytes_in", bytes_in / seconds, "B/s");
    print(name + ".cpu", cpu / seconds * 100, "% of a core");
    membership_view view;
    view.members = table.members();
    wire::Message message;
    message.__set_view(wire::to_wire(view));
    print(name + ".view", static_cast<double>(wire::encode(message).size()), "B");
}

permit_request usual_ask()
{
    permit_request ask;
    ask.key = {"host-1234:1796000000000:123456", 1};
    ask.client = "coach-portal";
    ask.prompt_tokens = 2'000;
    ask.answer_tokens = 400;
    ask.prefix = 0x1234'5678'9abc'def0;
    ask.fingerprint = 0x1234'5678'9abc'def1;
    ask.patience = std::chrono::milliseconds{1'100};
    return ask;
}

void measure_messages()
{
    const permit_request ask = usual_ask();
    wire::Message request;
    request.__set_permit_request(wire::to_wire(ask, "gala-llm-17"));
    wire::Message grant;
    grant.__set_grant(wire::to_wire(permit_grant{ask.key, "", "gala-p123", "gala-d456"}));
    permit_release done;
    done.key = ask.key;
    wire::Message release;
    release.__set_release(wire::to_wire(done, "gala-llm-17"));
    wire::Message prefilled;
    wire::PrefillDone read;
    read.request = ask.key.request;
    read.cell = "gala-llm-17";
    prefilled.__set_prefill_done(read);
    wire::Message reassert;
    reassert.__set_reassert(wire::to_wire("gala-llm-17", {{ask, "gala-p123", "gala-d456", true}}, {}));
    double bytes = 0;
    for (const wire::Message* const message : {&request, &grant, &release, &prefilled})
        bytes += static_cast<double>(wire::encode(*message).size());
    print("permit.bytes", bytes, "B a request, all four messages");
    print("reassert.bytes", static_cast<double>(wire::encode(reassert).size()), "B a permit");
    constexpr int rounds = 100'000;
    const double cpu = cpu_of([&] {
        for (int i = 0; i < rounds; ++i)
            static_cast<void>(wire::decode_message(wire::encode(request)));
    });
    print("permit.codec", cpu / rounds * us_per_s, "us a round trip");
}

void measure_config(int endpoints)
{
    std::string base = "region = \"r\"\nzones = [\"z\"]\n[pools.p]\nmodels = [\"m\"]\n";
    for (int i = 0; i < endpoints; ++i) {
        base += "[pools.p.endpoints.e" + std::to_string(i) + "]\nzone = \"z\"\nrole = \"" +
                (i % 3 == 0 ? "prefill" : "decode") + "\"\naddress = \"10.0.0.1:9000\"\nslots = 20\nblocks = 4000\n";
    }
    const double cpu = cpu_of([&] { static_cast<void>(read_config("s", {"base", base}, {"over", ""})); });
    const std::string name = "config." + std::to_string(endpoints);
    print(name + ".bytes", static_cast<double>(base.size()), "B");
    print(name + ".read", cpu * 1'000, "ms");
}

/// What a claim adds to a call of a plain service, and what it costs the key-value service.
void measure_claims()
{
    constexpr int calls = 300;
    site running{site_options{}};
    running.start();
    std::vector<double> lookups;
    std::vector<double> fees;
    const std::string before = running.calls().get(running.platform_address(), "/calls");
    for (int i = 0; i < calls; ++i) {
        http::request lookup = http::get_request("/entries/heat");
        lookup.lines.push_back({"Authorization", "Bearer coach-key"});
        lookups.push_back(running.calls().wait(running.calls().plain(running.entry(1), std::move(lookup))).total_ms);
        http::request fee = http::json_request("POST", "/entries/fee", "{}");
        fee.lines.push_back({"Authorization", "Bearer coach-key"});
        fee.lines.push_back({"Idempotency-Key", "bench-" + std::to_string(i)});
        fees.push_back(running.calls().wait(running.calls().plain(running.entry(1), std::move(fee))).total_ms);
    }
    print("claim.lookup_p50", load::quantile(lookups, 0.5), "ms");
    print("claim.fee_p50", load::quantile(fees, 0.5), "ms");
    std::cout << "claim.store_calls_before " << before << "\nclaim.store_calls_after "
              << running.calls().get(running.platform_address(), "/calls") << " for " << calls << " fees\n";
}

} // namespace

/// Measures the slopes that docs/CAPACITY.md is worked out from.
int main()
{
    for (const int size : {8, 100, 400, 1'600})
        measure_gossip(size);
    measure_messages();
    for (const int endpoints : {22, 220, 2'200, 12'000})
        measure_config(endpoints);
    measure_claims();
    return EXIT_SUCCESS;
}
