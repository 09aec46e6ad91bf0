#include "entry/entry_settings.h"

#include "base/settings.h"

namespace radishstep {

namespace {

constexpr const char* usage = R"(radishstep-entry: accepts callers' requests and serves them from the endpoints.

Usage:
  radishstep-entry [options]

Options:
  --host NAME           Name of this host.
  --zone NAME           Availability zone of this host.
  --region NAME         Region of this host.
  --site NAME           Site whose overlay applies.
  --listen ADDRESS      Where callers connect, IP:port (127.0.0.1:8080).
  --admin ADDRESS       Where operators connect, IP:port (127.0.0.1:8081).
  --broker ADDRESS      Link address of this host's broker, IP:port (127.0.0.1:7100).
  --key-value ADDRESS   Address of the key-value service, IP:port (127.0.0.1:9200).
  --silence-ms N        How long a stream may stay without data before it is resumed on a new connection (3000).
  --drain-notice-ms N   At a stop, how long connections are still accepted after readiness ends (1000).
  --drain-ms N          At a stop, how long running requests may take (120000).
  --body-bytes N        Largest request body, in bytes (1048576).
  --policy NAME         Who chooses endpoints: cell (the broker), or this process alone by round_robin,
                        least_reported or power_of_two; these three are for comparison (cell).
  --log-level NAME      TRACE, DEBUG, INFO, WARN or ERROR (INFO).
  --check               Check the settings and stop.
  --help                Show this text.

Each option that takes a value can also be set by an environment variable: --key-value is RADISHSTEP_KEY_VALUE.)";

constexpr std::int64_t max_duration_ms = 86'400'000;
constexpr std::int64_t default_body_bytes = 1'048'576;
constexpr std::int64_t body_bytes_limit = 67'108'864;

} // namespace

result<entry_settings> read_entry_settings(int argc, const char* const* argv)
{
    auto reader = settings_reader::parse(usage, argc, argv);
    if (!reader)
        return tl::unexpected{reader.error()};
    entry_settings settings;
    settings.host = reader->required("--host");
    settings.zone = reader->required("--zone");
    settings.region = reader->required("--region");
    settings.site = reader->required("--site");
    settings.listen = reader->address("--listen", "127.0.0.1:8080");
    settings.admin = reader->address("--admin", "127.0.0.1:8081");
    settings.broker = reader->address("--broker", "127.0.0.1:7100");
    settings.key_value = reader->address("--key-value", "127.0.0.1:9200");
    settings.idle_timeout =
        milliseconds{reader->number("--silence-ms", settings.idle_timeout.count(), 50, max_duration_ms)};
    settings.readiness_drain_delay =
        milliseconds{reader->number("--drain-notice-ms", settings.readiness_drain_delay.count(), 0, max_duration_ms)};
    settings.drain_timeout =
        milliseconds{reader->number("--drain-ms", settings.drain_timeout.count(), 0, max_duration_ms)};
    settings.max_body_bytes = reader->number("--body-bytes", default_body_bytes, 1'024, body_bytes_limit);
    settings.log_level = reader->text("--log-level", "INFO");
    const std::string policy = reader->text("--policy", "cell");
    settings.policy = admission_policy_from_name(policy);
    if (to_string(settings.policy) != policy)
        return fail(error_kind::bad_setting, "--policy '" + policy + "' is unknown",
                    "give cell, round_robin, least_reported or power_of_two");
    settings.is_check_only = reader->is_given("--check");
    if (const auto verdict = reader->validate(); !verdict)
        return tl::unexpected{verdict.error()};
    return settings;
}

} // namespace radishstep
