#include "forward/gateway/gateway.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "forward/suspects/ended_endpoints.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// Prefix of all keys that gateways write, and of those under which hosts register.
constexpr const char* gateway_prefix = "radishstep/";
constexpr const char* hosts_prefix = "radishstep/hosts/";

/// Lease of a host's registration, from its last renewal.
constexpr milliseconds registration_lease_time{15'000};
/// Longest interval between lease renewals: a third of the lease time, so that two renewals in a row may be lost. A
/// renewal that succeeds after a failed one also reveals an outage that may have lost the open watches; the host then
/// restarts its watches and reports the revisions that it sees to the other hosts. One such host is enough, so each
/// host of a large fleet renews less often.
constexpr milliseconds max_renewal_interval{5'000};
/// Lower bound of the renewal interval before jitter; applies in small fleets.
constexpr milliseconds small_fleet_renewal_interval{2'000};
/// The renewal interval grows by this much per host, between the two bounds.
constexpr milliseconds renewal_interval_per_host{80};
/// Interval after a renewal without an answer; shorter, to notice soon that the store answers again.
constexpr milliseconds renewal_retry_interval{1'000};
constexpr milliseconds registration_retry_interval{500};

/// How long a change may stay unread so that later changes are read by the same call: a tenth of the 2 s within which
/// a configuration must be applied, and a third of the longest drain propagation. Hosts come and go within tens of
/// seconds, and new ones become known by their load reports; the leader key is read by the same watch as the hosts.
constexpr milliseconds config_batch_delay{200};
constexpr int endpoint_batches_per_drain_propagation = 3;
constexpr milliseconds gateway_keys_batch_delay{3'000};

/// Timeout of the first watch after a change. A change reaches all hosts at once, so that they open their next
/// watches at the same time; a short outage of the store could lose all of them, and no host would be left to
/// report a missed change to the others.
constexpr milliseconds first_watch_timeout{1'500};

/// Longest intervals between retries of failed calls, which load the store too. The configuration's watch retries
/// often enough to notice a recovery within the 2 s that endpoints get to register again; the other watches then
/// retry at once.
constexpr milliseconds max_config_retry_interval{1'200};
constexpr milliseconds max_watch_retry_interval{6'000};

/// Longest timeout for a page of the endpoints; when a large fleet starts at once, its pages wait for each other at the
/// store's link.
constexpr milliseconds max_long_read_time{4'000};

/// How often endpoints missing since an outage, old health records and missed changes are checked.
constexpr milliseconds maintenance_interval{200};

/// How often the settings file is read; it may change without a signal.
constexpr milliseconds settings_poll_interval{1'000};

/// Time from the stop signal until new connections are refused: two failed readiness probes, which are sent once a
/// second, and some time for connections that are being opened.
constexpr milliseconds accept_time_after_stop{2'700};

/// Part of the shutdown grace time reserved for the process to exit by itself.
constexpr milliseconds shutdown_margin{250};

/// Time before that in which requests that have no response yet are answered.
constexpr milliseconds last_answers_time{250};

constexpr milliseconds shutdown_poll_interval{20};

/// Longest load report interval at which the loads of peers count as current, so that requests wait for free slots
/// of plain endpoints: a third of a typical call's duration.
constexpr milliseconds max_report_interval_for_current_loads{25};

/// Number of hosts assumed to share the retry budget and the phase orders until the registered hosts are known.
/// Small sites have 6 to 8 hosts; in larger fleets the assumed share of each host is too large for that time.
constexpr std::size_t assumed_host_count = 12;

/// Number of hosts that are assumed to share the client accounts' quotas until the registered hosts are known. With a
/// smaller number, the hosts of a large fleet that start together would exceed the quotas.
constexpr std::size_t assumed_largest_fleet = 300;

/// Part of the process's memory for callers' requests and answers in progress. The rest is for the program, what it
/// knows of the fleet, and the copies that are made while bodies grow.
constexpr double request_memory_part = 0.4;

/// Part of the process's descriptors for callers' connections. The rest is for endpoints, hosts and the store.
constexpr double caller_descriptor_part = 0.75;

/// Limits of the servers for the readiness and the metrics, whose requests have no body.
constexpr std::size_t service_body_bytes = 4UL * 1024;
constexpr std::size_t service_connections = 64;

constexpr unsigned status_ok = 200;
constexpr unsigned status_service_unavailable = 503;

asio::awaitable<void> send_response(http::reply& reply, http::response answer)
{
    co_await reply.send(std::move(answer));
}

std::shared_ptr<http::memory_budget> make_request_budget(const gateway_settings& settings)
{
    http::memory_limits limits;
    limits.bytes = static_cast<std::size_t>(static_cast<double>(settings.memory_bytes) * request_memory_part);
    return std::make_shared<http::memory_budget>(limits);
}

http::server_limits service_limits()
{
    http::server_limits limits;
    limits.body_bytes = service_body_bytes;
    limits.connections = service_connections;
    return limits;
}

void spawn(asio::io_context& io, asio::awaitable<void> task)
{
    asio::co_spawn(io, std::move(task), [](const std::exception_ptr& failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
}

} // namespace

gateway::gateway(asio::io_context& io, gateway_settings settings, const forward_dialect& dialect,
                 key_value_store& store, document_decoders documents)
    : io(io), settings(std::move(settings)), store(store), documents(std::move(documents)),
      context(io.get_executor(), dialect, this->settings.zone),
      load_reports(io.get_executor(), this->settings.host, this->context.load, this->context.health,
                   this->make_report_hooks()),
      phase_control(this->context, this->store, this->settings), signals(io, SIGTERM, SIGINT, SIGHUP)
{
    this->context.budget.configure(this->settings.retries, assumed_host_count);
    this->phase_control.set_host_count(assumed_host_count);
    this->context.trials.configure(this->settings.host, this->load_reports.exchange_time());
    this->context.on_load_change = [this](bool is_urgent) { this->load_reports.mark_changed(is_urgent); };
}

gateway::~gateway() = default;

load_report_hooks gateway::make_report_hooks()
{
    load_report_hooks hooks;
    hooks.list_queue_heads = [this] { return this->context.queue_heads(); };
    hooks.latest_revisions = [this] {
        revisions_by_prefix revisions;
        for (const auto& watched : this->watches)
            revisions[watched->name()] = watched->newest_revision();
        return revisions;
    };
    hooks.on_peer_revisions = [this](const revisions_by_prefix& revisions) {
        for (const auto& watched : this->watches) {
            if (const auto found = revisions.find(watched->name()); found != revisions.end())
                watched->record_peer_revision(found->second, runtime_clock::now());
        }
    };
    hooks.on_peer_endpoint_down = [this](const down_endpoint& down) {
        if (down.has_refused)
            this->context.suspects.record_process_end(down.incarnation, down.observed_at, runtime_clock::now());
        else
            this->context.suspects.record_endpoint_down(down.incarnation, runtime_clock::now());
    };
    hooks.list_crash_records = [this](time_point since) { return this->context.suspects.own_records(since); };
    hooks.list_part_starts = [this](time_point since) { return this->context.suspects.own_starts(since); };
    hooks.take_records_to_relay = [this] { return this->context.suspects.take_records_to_relay(runtime_clock::now()); };
    hooks.list_records_for_newcomer = [this] {
        return this->context.suspects.records_for_newcomer(runtime_clock::now());
    };
    hooks.list_trials = [this](time_point since) { return this->context.trials.own_claims(since); };
    hooks.on_peer_trials = [this](const std::string& host, const std::vector<std::string>& parts) {
        this->context.trials.apply_peer_claims(host, parts, runtime_clock::now());
    };
    hooks.list_account_spending = [this](time_point since) {
        return this->context.ledger.own_spending(since, runtime_clock::now());
    };
    hooks.on_peer_account_spending = [this](const std::string& host,
                                            const std::vector<accounts::account_spending>& rows) {
        this->context.ledger.apply_peer_spending(host, rows, runtime_clock::now());
    };
    hooks.take_pace_samples = [this] { return this->context.model.take_unreported(); };
    hooks.on_peer_pace_sample = [this](const pace_sample& sample) {
        count("radishstep_forward_pace_samples_total", {{"source", "peer"}});
        this->context.model.record_peer_sample(sample, runtime_clock::now());
    };
    hooks.on_peer_crash_records = [this](const std::vector<crash_record>& records,
                                         const std::vector<part_start>& starts) {
        const time_point now = runtime_clock::now();
        this->context.suspects.apply_peer_starts(starts, now);
        this->context.suspects.apply_peer_records(records, now);
    };
    return hooks;
}

result<void> gateway::start()
{
    auto caller_listener = http::listen(this->io.get_executor(), this->settings.callers_address);
    if (!caller_listener)
        return tl::unexpected{caller_listener.error()};
    auto readiness_listener = http::listen(this->io.get_executor(), this->settings.ready_address);
    if (!readiness_listener)
        return tl::unexpected{readiness_listener.error()};
    auto metrics_listener = http::listen(this->io.get_executor(), this->settings.metrics_address());
    if (!metrics_listener)
        return tl::unexpected{metrics_listener.error()};
    if (auto bound = this->load_reports.open(this->settings.peer_address()); !bound)
        return bound;
    const auto refuse = [this](const error& reason) {
        return this->context.dialect.make_refusal("", reason, std::nullopt);
    };
    this->caller_server = std::make_unique<forward_server>(this->context, std::move(*caller_listener));
    const auto request_budget = make_request_budget(this->settings);
    const auto connections =
        static_cast<std::size_t>(static_cast<double>(this->settings.descriptors) * caller_descriptor_part);
    this->caller_server->set_resources(request_budget, connections);
    this->context.http_client.set_memory_budget(request_budget);
    this->readiness_server = std::make_unique<http::server>(
        std::move(*readiness_listener), service_limits(),
        [this](const http::request&, http::reply& reply) { return send_response(reply, this->readiness_response()); },
        refuse);
    this->metrics_server = std::make_unique<http::server>(
        std::move(*metrics_listener), service_limits(),
        [](const http::request&, http::reply& reply) {
            return send_response(reply, http::text_response(status_ok, metrics_text()));
        },
        refuse);
    this->caller_server->start();
    this->readiness_server->start();
    this->metrics_server->start();
    this->start_watches();
    spawn(this->io, this->load_reports.send_reports());
    spawn(this->io, this->load_reports.receive_reports());
    spawn(this->io, this->maintain_registration());
    spawn(this->io, this->phase_control.run());
    spawn(this->io, this->run_maintenance());
    spawn(this->io, this->poll_settings());
    spawn(this->io, this->wait_for_signals());
    log_state("started", {{"host", this->settings.host},
                          {"callers", this->settings.callers_address},
                          {"store", this->settings.store_address}});
    return {};
}

bool gateway::is_ready() const
{
    return this->context.config && this->knows_endpoints() && !this->is_stopping &&
           !this->caller_server->has_accept_failed();
}

bool gateway::knows_endpoints() const
{
    // A host that starts beside all others may read on for seconds. What it knows serves callers until then.
    return this->has_endpoints || std::ranges::all_of(this->context.config->services, [this](const service& target) {
               return !this->context.directory.usable(target.name).empty();
           });
}

http::response gateway::readiness_response() const
{
    return this->is_ready() ? http::text_response(status_ok, "ready\n")
                            : http::text_response(status_service_unavailable, "not ready\n");
}

void gateway::start_watches()
{
    const auto no_action = [] {};
    const auto retry_all_watches = [this] {
        for (const auto& watched : this->watches)
            watched->retry_now();
    };
    prefix_hooks config;
    config.on_snapshot = [this](const std::vector<key_change>& items) {
        for (const key_change& item : items)
            this->apply_config(item);
    };
    config.on_change = [this](const key_change& change) { this->apply_config(change); };
    config.on_unavailable = no_action;
    config.on_available = retry_all_watches;
    prefix_hooks endpoints;
    endpoints.on_snapshot = [this](const std::vector<key_change>& items) { this->replace_endpoints(items); };
    endpoints.on_first_keys = [this](const std::vector<key_change>& items) { this->add_first_endpoints(items); };
    endpoints.on_change = [this](const key_change& change) { this->apply_endpoint_change(change); };
    endpoints.on_unavailable = [this] { this->context.directory.on_store_unavailable(); };
    endpoints.on_available = [this, retry_all_watches] {
        retry_all_watches();
        // Watches that were restarted after a renewal report the recovery late. Endpoints may have registered again
        // since the last failed renewal.
        const time_point since =
            std::exchange(this->last_failed_renewal_at, std::nullopt).value_or(runtime_clock::now());
        this->context.directory.on_store_available(since);
    };
    prefix_hooks gateway_keys;
    gateway_keys.on_snapshot = [this](const std::vector<key_change>& items) {
        this->registered_hosts.clear();
        this->have_hosts_changed = true;
        this->are_hosts_known = true;
        // Set again below if the snapshot contains the leader key.
        this->phase_control.set_has_leader(false);
        for (const key_change& item : items)
            this->apply_gateway_key(item);
        this->apply_registered_hosts();
    };
    gateway_keys.on_change = [this](const key_change& change) { this->apply_gateway_key(change); };
    // Assumes a leader while the key cannot be read, so that this host does not stand for election.
    gateway_keys.on_unavailable = [this] { this->phase_control.set_has_leader(true); };
    gateway_keys.on_available = retry_all_watches;
    const auto add_watch = [this](const std::string& prefix, watch_timing timing, prefix_hooks hooks) {
        this->watches.push_back(std::make_unique<watched_prefix>(this->store, prefix, timing, std::move(hooks)));
    };
    const milliseconds endpoints_batch_delay =
        this->settings.max_drain_propagation / endpoint_batches_per_drain_propagation;
    add_watch(this->documents.config_key, {config_batch_delay, first_watch_timeout, max_config_retry_interval}, config);
    add_watch(this->documents.endpoints_prefix,
              {endpoints_batch_delay, first_watch_timeout, max_watch_retry_interval, max_long_read_time}, endpoints);
    add_watch(gateway_prefix, {gateway_keys_batch_delay, watched_prefix::watch_timeout, max_watch_retry_interval},
              gateway_keys);
    for (const auto& watched : this->watches)
        spawn(this->io, watched->run());
}

void gateway::apply_config(const key_change& change)
{
    if (change.key != this->documents.config_key || !change.value)
        return;
    auto decoded = this->documents.decode_config(*change.value);
    if (!decoded) {
        log_problem("config_unusable", {{"cause", describe(decoded.error())}});
        return;
    }
    const std::int64_t current_version = this->context.config ? this->context.config->version : 0;
    if (this->context.config && decoded->version <= current_version) {
        log_state("config_kept",
                  {{"version", std::to_string(current_version)}, {"offered", std::to_string(decoded->version)}});
        return;
    }
    log_state("config_applied", {{"version", std::to_string(decoded->version)},
                                 {"before", std::to_string(current_version)},
                                 {"routes", std::to_string(decoded->routes.size())},
                                 {"accounts", std::to_string(decoded->accounts.accounts().size())}});
    this->caller_server->apply_limits(decoded->limits);
    this->context.ledger.configure(decoded->accounts, runtime_clock::now());
    this->context.config = std::make_shared<const forward_config>(std::move(*decoded));
}

void gateway::apply_endpoint_change(const key_change& change)
{
    if (!change.value) {
        log_state("endpoint_removed", {{"key", change.key}, {"revision", std::to_string(change.revision)}});
        const auto& entries = this->context.directory.entries();
        if (const auto removed = entries.find(change.key); removed != entries.end() && !removed->second.is_draining)
            this->context.suspects.record_endpoint_down(removed->second.incarnation(), runtime_clock::now());
        this->context.directory.remove(change.key);
        return;
    }
    auto decoded = this->documents.decode_endpoint(change.key, *change.value);
    if (!decoded) {
        log_problem("endpoint_unusable", {{"key", change.key}, {"cause", describe(decoded.error())}});
        this->context.directory.remove(change.key);
        return;
    }
    log_state("endpoint_seen", {{"endpoint", decoded->id},
                                {"started_ms", std::to_string(decoded->started_ms)},
                                {"address", decoded->address},
                                {"draining", decoded->is_draining ? "yes" : "no"},
                                {"phase", std::to_string(static_cast<int>(decoded->phase))},
                                {"revision", std::to_string(change.revision)}});
    this->context.forget_replaced_notices(*decoded);
    const auto& entries = this->context.directory.entries();
    if (const auto known = entries.find(change.key);
        known != entries.end() && replaces_running(known->second, *decoded))
        this->context.suspects.record_endpoint_replaced(known->second.incarnation(), runtime_clock::now());
    this->context.directory.put(change.key, std::move(*decoded));
}

void gateway::replace_endpoints(const std::vector<key_change>& items)
{
    std::map<std::string, endpoint> entries;
    for (const key_change& item : items) {
        auto decoded = this->documents.decode_endpoint(item.key, item.value.value_or(""));
        if (!decoded) {
            log_problem("endpoint_unusable", {{"key", item.key}, {"cause", describe(decoded.error())}});
            // The entry is not missing, so that it gets no time to return.
            this->context.directory.remove(item.key);
            continue;
        }
        this->context.forget_replaced_notices(*decoded);
        entries.emplace(item.key, std::move(*decoded));
    }
    log_state("endpoints_read", {{"usable", std::to_string(entries.size())}, {"all", std::to_string(items.size())}});
    const time_point now = runtime_clock::now();
    const std::map<std::string, endpoint> before = this->context.directory.entries();
    this->context.directory.replace_all(std::move(entries), now);
    for (const ended_endpoint& ended : ended_endpoints(before, this->context.directory.entries())) {
        if (ended.is_replaced)
            this->context.suspects.record_endpoint_replaced(ended.incarnation, now);
        else
            this->context.suspects.record_endpoint_down(ended.incarnation, now);
    }
    this->has_endpoints = true;
}

void gateway::add_first_endpoints(const std::vector<key_change>& items)
{
    for (const key_change& item : items) {
        auto decoded = this->documents.decode_endpoint(item.key, item.value.value_or(""));
        if (!decoded)
            continue;
        this->context.forget_replaced_notices(*decoded);
        this->context.directory.put(item.key, std::move(*decoded));
    }
    log_state("first_endpoints_read", {{"known", std::to_string(this->context.directory.entries().size())}});
}

void gateway::apply_gateway_key(const key_change& change)
{
    if (change.key == phase_controller::leader_key)
        this->phase_control.set_has_leader(change.value.has_value());
    if (change.key.starts_with(hosts_prefix))
        this->apply_host_change(change);
}

void gateway::apply_host_change(const key_change& change)
{
    const std::string host = change.key.substr(std::string_view{hosts_prefix}.size());
    if (change.value)
        this->registered_hosts.insert_or_assign(host, *change.value);
    else
        this->registered_hosts.erase(host);
    if (!change.value && host == this->settings.host && !this->is_stopping)
        this->must_register = true;
    this->have_hosts_changed = true;
}

void gateway::apply_registered_hosts()
{
    if (!std::exchange(this->have_hosts_changed, false))
        return;
    this->load_reports.set_peers(this->registered_hosts);
    this->context.are_peer_loads_current =
        this->load_reports.report_interval() <= max_report_interval_for_current_loads;
    this->context.budget.configure(this->settings.retries, this->load_reports.host_count());
    this->context.trials.configure(this->settings.host, this->load_reports.exchange_time());
    this->phase_control.set_host_count(this->load_reports.host_count());
}

asio::awaitable<void> gateway::maintain_registration()
{
    std::int64_t lease = 0;
    bool has_renewal_failed = false;
    time_point last_failure_at;
    while (!this->is_stopping) {
        if (lease == 0 || this->must_register) {
            this->must_register = false;
            const auto granted =
                co_await this->store.grant_lease(std::max(registration_lease_time, this->settings.min_lease_time));
            if (granted) {
                const std::string own_address = this->settings.peer_address();
                const auto written =
                    co_await this->store.put(hosts_prefix + this->settings.host, own_address, *granted);
                lease = written && *written ? *granted : 0;
            }
            if (lease == 0) {
                co_await pause_for(registration_retry_interval);
                continue;
            }
            log_state("registered", {{"host", this->settings.host}, {"lease", std::to_string(lease)}});
        }
        co_await pause_unless([this] { return this->must_register; },
                              has_renewal_failed ? renewal_retry_interval : this->renewal_interval());
        const auto renewed = co_await this->store.renew_lease(lease);
        if (renewed && std::exchange(has_renewal_failed, false)) {
            log_state("watches_renewed", {{"cause", "the key-value service answers again"}});
            this->last_failed_renewal_at = last_failure_at;
            for (const auto& watched : this->watches)
                watched->restart_watch();
        }
        if (!renewed) {
            last_failure_at = runtime_clock::now();
            if (!std::exchange(has_renewal_failed, true))
                log_problem("renewal_failed", {{"cause", describe(renewed.error())}});
        }
        if (renewed && !*renewed) {
            log_problem("registration_ended", {{"lease", std::to_string(lease)}});
            lease = 0;
        }
    }
}

milliseconds gateway::renewal_interval() const
{
    const auto host_total = static_cast<milliseconds::rep>(this->load_reports.host_count());
    const milliseconds max_interval =
        std::clamp(renewal_interval_per_host * host_total, small_fleet_renewal_interval, max_renewal_interval);
    // Jittered, so that some host's renewal falls into a short outage in which all watches were opened.
    return jittered(max_interval / 2, max_interval);
}

asio::awaitable<void> gateway::run_maintenance()
{
    while (true) {
        co_await pause_for(maintenance_interval);
        const time_point now = runtime_clock::now();
        this->apply_registered_hosts();
        for (const endpoint& dropped : this->context.directory.remove_expired(now)) {
            log_state("endpoint_gone",
                      {{"endpoint", dropped.id}, {"cause", "did not register again after the outage"}});
            if (!dropped.is_draining)
                this->context.suspects.record_endpoint_down(dropped.incarnation(), now);
        }
        if (this->caller_server->has_accept_failed())
            this->context.http_client.close_idle();
        this->context.health.expire_records(now);
        this->context.model.expire(now);
        this->context.tell_silent_calls();
        this->context.suspects.expire(now);
        this->context.trials.expire(now);
        this->update_ledger(now);
        this->context.expire_notices();
        for (const auto& watched : this->watches)
            watched->recover_missed_changes(now);
    }
}

void gateway::update_ledger(time_point now)
{
    const std::size_t known = this->are_hosts_known ? this->load_reports.host_count() : assumed_largest_fleet;
    this->context.ledger.set_reach({this->load_reports.heard_host_count(now), known}, now);
    this->context.ledger.forget_silent_hosts(now);
}

void gateway::apply_settings(const gateway_settings& next)
{
    log_state("settings_applied", {{"host", next.host}, {"zone", next.zone}});
    this->settings.retries = next.retries;
    this->settings.shutdown_grace = next.shutdown_grace;
    this->context.budget.configure(next.retries, this->registered_hosts.empty() ? assumed_host_count
                                                                                : this->load_reports.host_count());
}

asio::awaitable<void> gateway::poll_settings()
{
    gateway_settings last_read = this->settings;
    while (true) {
        co_await pause_for(settings_poll_interval);
        const auto read = this->documents.read_settings();
        if (!read) {
            log_problem("settings_unusable", {{"cause", describe(read.error())}});
            continue;
        }
        if (*read == last_read)
            continue;
        last_read = *read;
        this->apply_settings(*read);
    }
}

asio::awaitable<void> gateway::wait_for_signals()
{
    while (true) {
        boost::system::error_code failure;
        const int signal = co_await this->signals.async_wait(asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        log_state("signal", {{"number", std::to_string(signal)},
                             {"in_progress", std::to_string(this->caller_server->requests_in_progress())}});
        if (signal == SIGHUP) {
            if (const auto read = this->documents.read_settings())
                this->apply_settings(*read);
            continue;
        }
        if (!std::exchange(this->is_stopping, true))
            spawn(this->io, this->stop_gracefully());
    }
}

asio::awaitable<void> gateway::stop_gracefully()
{
    const time_point deadline = runtime_clock::now() + this->settings.shutdown_grace - shutdown_margin;
    const milliseconds accept_time = std::min(accept_time_after_stop, this->settings.shutdown_grace / 2);
    this->context.stop_deadline = deadline - last_answers_time;
    this->context.callers_moved_at = runtime_clock::now() + accept_time;
    this->phase_control.stop();
    this->caller_server->close_after_responses();
    co_await pause_for(accept_time);
    this->caller_server->stop_accepting();
    // A connection ends after its request, or soon if it carries none.
    bool has_ended_requests = false;
    while (this->caller_server->open_connections() > 0 && runtime_clock::now() < deadline) {
        if (runtime_clock::now() >= *this->context.stop_deadline && !std::exchange(has_ended_requests, true))
            this->caller_server->end_unanswered_requests();
        co_await pause_for(shutdown_poll_interval);
    }
    log_state("stopped", {{"unfinished", std::to_string(this->caller_server->requests_in_progress())}});
    this->io.stop();
}

} // namespace radishstep::forward
