#include "forward/fleet/phase_controller.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "forward/fleet/phase_balance.h"
#include "forward/serving/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// Lease time of the leader key: how long it outlives a leader that has stopped.
constexpr milliseconds leader_lease_time{6'000};
/// Interval of lease renewals; orders are sent between two renewals.
constexpr milliseconds renewal_interval{2'000};
/// No order is sent later than this after the last renewal was sent. The rest of the lease covers the delivery of the
/// order and a pause of this process.
constexpr milliseconds max_renewal_age{2'500};
/// Interval between election attempts, longer if there are many hosts. Each host picks a random time, so that few
/// attempt before they see the key of the first one.
constexpr milliseconds election_interval{1'000};
constexpr milliseconds election_interval_per_host{100};
/// Time that a new leader waits in addition to the configured handover delay, for orders of the previous leader that
/// are still in flight.
constexpr milliseconds order_delivery_time{1'000};
constexpr milliseconds order_timeout{1'000};
/// An engine that refused or did not answer an order gets no other one for this time: an unanswered order may still be
/// executed.
constexpr milliseconds failed_order_pause{14'000};
/// Time between the end of a phase change and the engine's updated entry in the store.
constexpr milliseconds registration_margin{2'500};

} // namespace

phase_controller::phase_controller(forward_context& context, key_value_store& store, const gateway_settings& settings)
    : context(context), store(store), settings(settings)
{
}

asio::awaitable<void> phase_controller::run()
{
    bool is_leader = false;
    while (!this->is_stopped) {
        if (!is_leader) {
            const auto electing_hosts = static_cast<milliseconds::rep>(this->host_count);
            co_await pause_for(jittered(election_interval / 2,
                                        std::max(election_interval, election_interval_per_host * electing_hosts)));
            if (!this->has_leader)
                is_leader = co_await this->acquire_leadership();
            continue;
        }
        co_await this->send_orders();
        co_await pause_for(renewal_interval);
        is_leader = co_await this->renew_leadership();
    }
}

asio::awaitable<bool> phase_controller::acquire_leadership()
{
    const time_point sent_at = runtime_clock::now();
    const auto lease_id = co_await this->store.grant_lease(std::max(leader_lease_time, this->settings.min_lease_time));
    if (!lease_id)
        co_return false;
    const auto created = co_await this->store.create(leader_key, this->settings.host, *lease_id);
    if (created && !*created)
        this->has_leader = true;
    if (!created || !*created)
        co_return false;
    this->lease = *lease_id;
    this->fencing_token = **created;
    this->renewed_at = sent_at;
    this->first_order_at = runtime_clock::now() + this->settings.leader_handover_delay + order_delivery_time;
    log_state("orders_held", {{"token", std::to_string(this->fencing_token)}, {"lease", std::to_string(this->lease)}});
    co_return true;
}

asio::awaitable<bool> phase_controller::renew_leadership()
{
    const time_point sent_at = runtime_clock::now();
    const auto renewed_lease = co_await this->store.renew_lease(this->lease);
    const bool is_lost =
        (renewed_lease && !*renewed_lease) || (!renewed_lease && sent_at > this->renewed_at + leader_lease_time);
    if (is_lost) {
        log_problem("orders_lost", {{"token", std::to_string(this->fencing_token)}});
        co_return false;
    }
    if (renewed_lease)
        this->renewed_at = sent_at;
    co_return true;
}

asio::awaitable<void> phase_controller::send_orders()
{
    const time_point now = runtime_clock::now();
    std::erase_if(this->changes_in_progress, [now](const phase_change& change) { return change.ends_at < now; });
    const config_ptr config = this->context.config;
    if (!config || now < this->first_order_at)
        co_return;
    for (const service& target : config->services) {
        while (target.kv_capacity_tokens > 0 && !this->is_stopped) {
            if (runtime_clock::now() > this->renewed_at + max_renewal_age)
                co_return;
            const auto engines = this->context.chooser.callable(target.name, runtime_clock::now());
            const auto engine =
                find_surplus_prefill_engine(engines, this->changing_incarnations(), target.kv_capacity_tokens);
            if (!engine)
                break;
            co_await this->send_order(*engine, target);
        }
    }
}

asio::awaitable<void> phase_controller::send_order(endpoint engine, const service& target)
{
    http::call_options options;
    options.connect_timeout = connect_timeout;
    options.idle_timeout = order_timeout;
    options.fresh_connection = true;
    options.on_head = [this, &engine](const http::response& head) {
        this->context.record_notice(engine, call_kind::phase_order, "", head);
    };
    http::request call = this->context.dialect.make_phase_order(engine, endpoint_phase::decode, this->settings.host,
                                                                this->fencing_token);
    const auto answer = co_await this->context.http_client.call(engine.address, std::move(call), std::move(options));
    constexpr unsigned min_refusal_status = 300;
    const bool is_accepted = answer && answer->status < min_refusal_status;
    milliseconds pause = failed_order_pause;
    if (is_accepted)
        pause = target.phase_change_time + registration_margin;
    this->log_order(engine, answer, is_accepted);
    phase_change change;
    change.incarnation = engine.incarnation();
    change.ends_at = runtime_clock::now() + pause;
    if (is_accepted) {
        // Reported to all hosts as full load, so that none assigns requests to the engine during the change.
        endpoint_load full_load;
        full_load.calls = engine.slots;
        full_load.tokens = target.kv_capacity_tokens;
        // As if every slot had a prompt that fills the KV cache: more than an engine can really have.
        full_load.pending_prefill_tokens = target.kv_capacity_tokens * engine.slots;
        change.load = std::make_unique<load_guard>(this->context, change.incarnation, full_load);
    }
    this->changes_in_progress.push_back(std::move(change));
}

void phase_controller::log_order(const endpoint& engine, const result<http::response>& answer, bool is_accepted) const
{
    log_state("phase_ordered", {{"endpoint", engine.id},
                                {"token", std::to_string(this->fencing_token)},
                                {"outcome", answer ? std::to_string(answer->status) : describe(answer.error())}});
    count("radishstep_forward_orders_total", {{"taken", is_accepted ? "yes" : "no"}});
}

std::vector<std::string> phase_controller::changing_incarnations() const
{
    std::vector<std::string> incarnations;
    incarnations.reserve(this->changes_in_progress.size());
    for (const phase_change& change : this->changes_in_progress)
        incarnations.push_back(change.incarnation);
    return incarnations;
}

} // namespace radishstep::forward
