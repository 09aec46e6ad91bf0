#include "broker/broker_settings.h"

#include "base/settings.h"
#include "http/server.h"

namespace radishstep {

namespace {

constexpr const char* usage =
    R"(radishstep-broker: tracks the router hosts by gossip, distributes the configuration and grants the permits of the
cells that this host owns.

Usage:
  radishstep-broker [options]

Options:
  --host NAME           Name of this host.
  --zone NAME           Availability zone of this host.
  --region NAME         Region of this host.
  --site NAME           Site whose overlay applies.
  --address IP          IP address at which the other hosts reach this host (127.0.0.1).
  --link-port N         TCP port for entry processes and other brokers (7100).
  --gossip-port N       UDP port for the other brokers, the same on all hosts (7101).
  --admin ADDRESS       Address of the admin port for operators, IP:port (127.0.0.1:7102).
  --entry-admin ADDRESS Admin address of this host's entry process, IP:port (127.0.0.1:8081).
  --key-value ADDRESS   Address of the key-value service, IP:port (127.0.0.1:9200).
  --host-list ADDRESS   Address of the host list service, IP:port (127.0.0.1:9200).
  --probe-ms N          Milliseconds between two status probes of an endpoint (500).
  --log-level NAME      TRACE, DEBUG, INFO, WARN or ERROR (INFO).
  --check               Check the settings and stop.
  --help                Show this text.

Each option that takes a value can also be set by an environment variable: --key-value is RADISHSTEP_KEY_VALUE.)";

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_probe_ms = 10'000;

} // namespace

result<broker_settings> read_broker_settings(int argc, const char* const* argv)
{
    auto reader = settings_reader::parse(usage, argc, argv);
    if (!reader)
        return tl::unexpected{reader.error()};
    broker_settings settings;
    settings.host = reader->required("--host");
    settings.zone = reader->required("--zone");
    settings.region = reader->required("--region");
    settings.site = reader->required("--site");
    settings.address = reader->text("--address", "127.0.0.1");
    settings.link_port = static_cast<int>(reader->number("--link-port", 7'100, 1, max_port));
    settings.gossip_port = static_cast<int>(reader->number("--gossip-port", 7'101, 1, max_port));
    settings.admin = reader->address("--admin", "127.0.0.1:7102");
    settings.entry_admin = reader->address("--entry-admin", "127.0.0.1:8081");
    settings.key_value = reader->address("--key-value", "127.0.0.1:9200");
    settings.host_list = reader->address("--host-list", "127.0.0.1:9200");
    settings.probe_period = milliseconds{reader->number("--probe-ms", settings.probe_period.count(), 20, max_probe_ms)};
    settings.log_level = reader->text("--log-level", "INFO");
    settings.check_only = reader->is_given("--check");
    if (const auto verdict = reader->validate(); !verdict)
        return tl::unexpected{verdict.error()};
    if (const auto parsed = http::parse_address(settings.address + ":1"); !parsed)
        return fail(error_kind::bad_setting, "--address '" + settings.address + "' is not an IP address",
                    "give the IP address of this host");
    return settings;
}

} // namespace radishstep
