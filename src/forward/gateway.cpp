#include "forward/gateway.h"

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

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// Everything that the gateways write, and under which of it hosts register themselves.
constexpr const char* own_prefix = "radishstep/";
constexpr const char* hosts_prefix = "radishstep/hosts/";

/// How long a host counts after its last word to the key-value service.
constexpr milliseconds registration_time{15'000};
/// Longest pause between renewals: two of them may be lost. Renewals also show that a silence has swallowed the
/// watches; one host that finds out tells the others, so in a large fleet each may renew less often.
constexpr milliseconds renewal_time{5'000};
constexpr milliseconds renewal_time_of_small_fleet{2'000};
constexpr milliseconds renewal_time_per_host{80};
/// After a renewal without an answer the next comes soon, since it tells when the service is back.
constexpr milliseconds renewal_time_after_failure{1'000};
constexpr milliseconds registration_pause{500};

/// How long changes may go unseen while others are gathered with them: a tenth of the published bound for
/// configurations, a third of the one for draining endpoints. Hosts come and go in tens of seconds, and new ones
/// make themselves known by their reports.
constexpr milliseconds config_batch{200};
constexpr int endpoint_batches_in_drain_bound = 3;
constexpr milliseconds hosts_batch{3'000};

/// The first watch after news waits only so long: news reach all hosts at once, so that a short silence of the
/// service would swallow the next watch of each of them, and nobody could tell the others.
constexpr milliseconds first_watch{1'500};

/// Longest pauses between failed calls, which load the service too. One prefix finds out that the service is back,
/// within the two seconds in which endpoints come back then; the others follow it.
constexpr milliseconds longest_probe_pause{1'200};
constexpr milliseconds longest_follower_pause{6'000};

/// How often endpoints that vanished during an outage are looked through, and old records dropped.
constexpr milliseconds house_time{200};

/// How often the settings file is looked at; it may change without a signal.
constexpr milliseconds settings_time{1'000};

/// From the request to stop until new connections are refused: two missed readiness questions, which
/// come once a second, and some time for connections that are on their way.
constexpr milliseconds readiness_time{2'700};

/// Part of the grace time that is left for the process to end by itself.
constexpr milliseconds stop_margin{250};

constexpr milliseconds stop_poll{20};

/// Longest pause between reports with which hosts wait for free slots at plain endpoints: a third of the
/// time of a usual call.
constexpr milliseconds fresh_pause{25};

/// Hosts assumed to share the retry budget and the orders until the key-value service has told: more than are likely.
constexpr std::size_t unknown_hosts = 12;

constexpr unsigned ok = 200;
constexpr unsigned not_ready = 503;

asio::awaitable<void> answer_with(http::reply& reply, http::response answer)
{
    co_await reply.send(std::move(answer));
}

void spawn(asio::io_context& io, asio::awaitable<void> work)
{
    asio::co_spawn(io, std::move(work), [](const std::exception_ptr& failure) {
        if (failure)
            std::rethrow_exception(failure);
    });
}

} // namespace

gateway::gateway(asio::io_context& io, gateway_settings settings, const forward_dialect& dialect,
                 key_value_store& store, document_decoders documents)
    : io(io), settings(std::move(settings)), store(store), documents(std::move(documents)),
      context(io.get_executor(), dialect, this->settings.zone),
      peers(io.get_executor(), this->settings.host, this->context.load, this->context.health, this->own_peer_hooks()),
      phases(this->context, this->store, this->settings), signals(io, SIGTERM, SIGINT, SIGHUP)
{
    this->context.budget.configure(this->settings.retries, unknown_hosts);
    this->phases.set_host_count(unknown_hosts);
    this->context.on_load_change = [this](bool is_urgent) { this->peers.note_change(is_urgent); };
}

gateway::~gateway() = default;

load_report_hooks gateway::own_peer_hooks()
{
    load_report_hooks hooks;
    hooks.heads = [this] { return this->context.queue_heads(); };
    hooks.changes = [this] {
        revisions_by_prefix seen;
        for (const auto& watched : this->watches)
            seen[watched->name()] = watched->newest_revision();
        return seen;
    };
    hooks.on_peer_revisions = [this](const revisions_by_prefix& seen) {
        for (const auto& watched : this->watches) {
            if (const auto found = seen.find(watched->name()); found != seen.end())
                watched->record_peer_revision(found->second, runtime_clock::now());
        }
    };
    return hooks;
}

result<void> gateway::start()
{
    auto callers_listener = http::listen(this->io.get_executor(), this->settings.callers_address);
    if (!callers_listener)
        return tl::unexpected{callers_listener.error()};
    auto ready_listener = http::listen(this->io.get_executor(), this->settings.ready_address);
    if (!ready_listener)
        return tl::unexpected{ready_listener.error()};
    auto metrics_listener = http::listen(this->io.get_executor(), this->settings.metrics_address());
    if (!metrics_listener)
        return tl::unexpected{metrics_listener.error()};
    if (auto opened = this->peers.open(this->settings.peer_address()); !opened)
        return opened;
    const auto refuse = [this](const error& reason) { return this->context.dialect.refusal("", reason, std::nullopt); };
    this->callers = std::make_unique<forward_server>(this->context, std::move(*callers_listener));
    this->readiness = std::make_unique<http::server>(
        std::move(*ready_listener), http::server_limits{},
        [this](const http::request&, http::reply& reply) { return answer_with(reply, this->readiness_answer()); },
        refuse);
    this->metrics = std::make_unique<http::server>(
        std::move(*metrics_listener), http::server_limits{},
        [](const http::request&, http::reply& reply) {
            return answer_with(reply, http::text_response(ok, metrics_text()));
        },
        refuse);
    this->callers->start();
    this->readiness->start();
    this->metrics->start();
    this->watch_store();
    spawn(this->io, this->peers.send_reports());
    spawn(this->io, this->peers.receive_reports());
    spawn(this->io, this->stay_registered());
    spawn(this->io, this->phases.run());
    spawn(this->io, this->keep_house());
    spawn(this->io, this->follow_settings());
    spawn(this->io, this->wait_for_signals());
    log_state("started", {{"host", this->settings.host},
                          {"callers", this->settings.callers_address},
                          {"store", this->settings.store_address}});
    return {};
}

bool gateway::is_ready() const
{
    return this->context.config && this->has_endpoints && !this->is_stopping;
}

http::response gateway::readiness_answer() const
{
    return this->is_ready() ? http::text_response(ok, "ready\n") : http::text_response(not_ready, "not ready\n");
}

void gateway::watch_store()
{
    const auto nothing = [] {};
    const auto retry_all = [this] {
        for (const auto& watched : this->watches)
            watched->retry_now();
    };
    prefix_hooks config;
    config.on_snapshot = [this](const std::vector<key_change>& items) {
        for (const key_change& item : items)
            this->take_config(item);
    };
    config.on_change = [this](const key_change& change) { this->take_config(change); };
    config.on_unavailable = nothing;
    config.on_available = retry_all;
    prefix_hooks endpoints;
    endpoints.on_snapshot = [this](const std::vector<key_change>& items) { this->take_all_endpoints(items); };
    endpoints.on_change = [this](const key_change& change) { this->take_endpoint(change); };
    endpoints.on_unavailable = [this] { this->context.directory.on_store_unavailable(); };
    endpoints.on_available = [this, retry_all] {
        retry_all();
        // Watches that were ended for a renewal notice the return late; entries have had time since then.
        const time_point since = std::exchange(this->answers_since, std::nullopt).value_or(runtime_clock::now());
        this->context.directory.on_store_available(since);
    };
    prefix_hooks peers;
    peers.on_snapshot = [this](const std::vector<key_change>& items) {
        this->hosts.clear();
        this->phases.set_has_leader(false);
        for (const key_change& item : items)
            this->take_own(item);
    };
    peers.on_change = [this](const key_change& change) { this->take_own(change); };
    peers.on_unavailable = [this] { this->phases.set_has_leader(true); };
    peers.on_available = retry_all;
    const auto watch = [this](const std::string& prefix, watch_timing pace, prefix_hooks hooks) {
        this->watches.push_back(std::make_unique<watched_prefix>(this->store, prefix, pace, std::move(hooks)));
    };
    const milliseconds endpoints_batch = this->settings.max_drain_propagation / endpoint_batches_in_drain_bound;
    watch(this->documents.config_key, {config_batch, first_watch, longest_probe_pause}, config);
    watch(this->documents.endpoints_prefix, {endpoints_batch, first_watch, longest_follower_pause}, endpoints);
    watch(own_prefix, {hosts_batch, watched_prefix::watch_timeout, longest_follower_pause}, peers);
    for (const auto& watched : this->watches)
        spawn(this->io, watched->run());
}

void gateway::take_config(const key_change& change)
{
    if (change.key != this->documents.config_key || !change.value)
        return;
    auto decoded = this->documents.decode_config(*change.value);
    if (!decoded) {
        log_problem("config_unusable", {{"cause", describe(decoded.error())}});
        return;
    }
    const std::int64_t current = this->context.config ? this->context.config->version : 0;
    if (this->context.config && decoded->version <= current) {
        log_state("config_kept", {{"version", std::to_string(current)}, {"offered", std::to_string(decoded->version)}});
        return;
    }
    log_state("config_applied", {{"version", std::to_string(decoded->version)},
                                 {"before", std::to_string(current)},
                                 {"routes", std::to_string(decoded->routes.size())}});
    this->callers->apply_limits(decoded->limits);
    this->context.config = std::make_shared<const forward_config>(std::move(*decoded));
}

void gateway::take_endpoint(const key_change& change)
{
    if (!change.value) {
        log_state("endpoint_removed", {{"key", change.key}, {"revision", std::to_string(change.revision)}});
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
    this->context.directory.put(change.key, std::move(*decoded));
}

void gateway::take_all_endpoints(const std::vector<key_change>& items)
{
    std::map<std::string, endpoint> entries;
    for (const key_change& item : items) {
        auto decoded = this->documents.decode_endpoint(item.key, item.value.value_or(""));
        if (!decoded) {
            log_problem("endpoint_unusable", {{"key", item.key}, {"cause", describe(decoded.error())}});
            continue;
        }
        entries.emplace(item.key, std::move(*decoded));
    }
    log_state("endpoints_read", {{"usable", std::to_string(entries.size())}, {"all", std::to_string(items.size())}});
    this->context.directory.replace_all(std::move(entries), runtime_clock::now());
    this->has_endpoints = true;
}

void gateway::take_own(const key_change& change)
{
    if (change.key == phase_controller::leader_key)
        this->phases.set_has_leader(change.value.has_value());
    if (change.key.starts_with(hosts_prefix))
        this->take_host(change);
}

void gateway::take_host(const key_change& change)
{
    const std::string host = change.key.substr(std::string_view{hosts_prefix}.size());
    if (change.value)
        this->hosts.insert_or_assign(host, *change.value);
    else
        this->hosts.erase(host);
    if (!change.value && host == this->settings.host && !this->is_stopping)
        this->must_register = true;
    this->peers.set_peers(this->hosts);
    this->context.are_peer_loads_current = this->peers.report_pause() <= fresh_pause;
    this->context.budget.configure(this->settings.retries, this->peers.host_count());
    this->phases.set_host_count(this->peers.host_count());
}

asio::awaitable<void> gateway::stay_registered()
{
    std::int64_t lease = 0;
    bool was_unanswered = false;
    time_point failed_at;
    while (!this->is_stopping) {
        if (lease == 0 || this->must_register) {
            this->must_register = false;
            const auto taken =
                co_await this->store.grant_lease(std::max(registration_time, this->settings.min_lease_time));
            if (taken) {
                const std::string own_address = this->settings.peer_address();
                const auto written = co_await this->store.put(hosts_prefix + this->settings.host, own_address, *taken);
                lease = written && *written ? *taken : 0;
            }
            if (lease == 0) {
                co_await pause_for(registration_pause);
                continue;
            }
            log_state("registered", {{"host", this->settings.host}, {"lease", std::to_string(lease)}});
        }
        co_await pause_unless([this] { return this->must_register; },
                              was_unanswered ? renewal_time_after_failure : this->renewal_pause());
        const auto renewed = co_await this->store.renew_lease(lease);
        if (renewed && std::exchange(was_unanswered, false)) {
            log_state("watches_renewed", {{"cause", "the key-value service answers again"}});
            this->answers_since = failed_at;
            for (const auto& watched : this->watches)
                watched->restart_watch();
        }
        if (!renewed) {
            failed_at = runtime_clock::now();
            if (!std::exchange(was_unanswered, true))
                log_problem("renewal_failed", {{"cause", describe(renewed.error())}});
        }
        if (renewed && !*renewed) {
            log_problem("registration_ended", {{"lease", std::to_string(lease)}});
            lease = 0;
        }
    }
}

milliseconds gateway::renewal_pause() const
{
    const auto hosts = static_cast<milliseconds::rep>(this->peers.host_count());
    const milliseconds longest = std::clamp(renewal_time_per_host * hosts, renewal_time_of_small_fleet, renewal_time);
    // Jittered, so that some host's renewal falls into a silence in which all watches were opened.
    return jittered(longest / 2, longest);
}

asio::awaitable<void> gateway::keep_house()
{
    while (true) {
        co_await pause_for(house_time);
        const time_point now = runtime_clock::now();
        for (const endpoint& dropped : this->context.directory.remove_expired(now))
            log_state("endpoint_gone", {{"endpoint", dropped.id}, {"cause", "did not come back after the outage"}});
        this->context.health.expire_records(now);
        for (const auto& watched : this->watches)
            watched->recover_missed_changes(now);
    }
}

void gateway::apply_settings(const gateway_settings& next)
{
    log_state("settings_applied", {{"host", next.host}, {"zone", next.zone}});
    this->settings.retries = next.retries;
    this->settings.shutdown_grace = next.shutdown_grace;
    this->context.budget.configure(next.retries, this->hosts.empty() ? unknown_hosts : this->peers.host_count());
}

asio::awaitable<void> gateway::follow_settings()
{
    gateway_settings last = this->settings;
    while (true) {
        co_await pause_for(settings_time);
        const auto read = this->documents.read_settings();
        if (!read) {
            log_problem("settings_unusable", {{"cause", describe(read.error())}});
            continue;
        }
        if (*read == last)
            continue;
        last = *read;
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
                             {"in_progress", std::to_string(this->callers->requests_in_progress())}});
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
    const time_point until = runtime_clock::now() + this->settings.shutdown_grace - stop_margin;
    this->phases.stop();
    this->callers->send_callers_away();
    co_await pause_for(std::min(readiness_time, this->settings.shutdown_grace / 2));
    this->callers->stop_accepting();
    while (this->callers->requests_in_progress() > 0 && runtime_clock::now() < until)
        co_await pause_for(stop_poll);
    log_state("stopped", {{"unfinished", std::to_string(this->callers->requests_in_progress())}});
    this->io.stop();
}

} // namespace radishstep::forward
