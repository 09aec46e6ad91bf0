#include "forward/phase_controller.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "forward/phase_balance.h"
#include "forward/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// How long the key outlives its holder.
constexpr milliseconds key_lease{6'000};
constexpr milliseconds renewal_pause{2'000};
/// No order is given later than this after the last renewal was sent: the order has to arrive, and this
/// host's clock may stand still for a while, before the lease ends.
constexpr milliseconds order_validity{2'500};
/// Hosts look this often whether the key is free, or less often in a large fleet: each looks at its own time, so
/// that few try before they have heard of the first.
constexpr milliseconds look_pause{1'000};
constexpr milliseconds look_pause_per_host{100};
/// A new holder waits so long in addition to the fleet's bound between holders, for orders of the one
/// before it that are still on their way.
constexpr milliseconds order_flight{1'000};
constexpr milliseconds order_time{1'000};
/// An order that was not answered may still be carried out; the engine is left alone so long.
constexpr milliseconds unanswered_pause{14'000};
/// Between the end of a change and the engine's new entry in the store.
constexpr milliseconds entry_margin{2'500};

} // namespace

phase_controller::phase_controller(forward_context& context, key_value_store& store, const gateway_settings& settings)
    : context(context), store(store), settings(settings)
{
}

asio::awaitable<void> phase_controller::run()
{
    bool is_holder = false;
    while (!this->is_stopped) {
        if (!is_holder) {
            const auto all = static_cast<milliseconds::rep>(this->hosts);
            co_await pause_for(jittered(look_pause / 2, std::max(look_pause, look_pause_per_host * all)));
            if (!this->is_held)
                is_holder = co_await this->take_key();
            continue;
        }
        co_await this->give_orders();
        co_await pause_for(renewal_pause);
        is_holder = co_await this->renew();
    }
}

asio::awaitable<bool> phase_controller::take_key()
{
    const time_point asked = runtime_clock::now();
    const auto taken = co_await this->store.grant_lease(std::max(key_lease, this->settings.min_lease_time));
    if (!taken)
        co_return false;
    const auto created = co_await this->store.create(leader_key, this->settings.host, *taken);
    if (created && !*created)
        this->is_held = true;
    if (!created || !*created)
        co_return false;
    this->lease = *taken;
    this->token = **created;
    this->renewed = asked;
    this->first_order = runtime_clock::now() + this->settings.leader_handover_delay + order_flight;
    log_state("orders_held", {{"token", std::to_string(this->token)}, {"lease", std::to_string(this->lease)}});
    co_return true;
}

asio::awaitable<bool> phase_controller::renew()
{
    const time_point asked = runtime_clock::now();
    const auto renewed_lease = co_await this->store.renew_lease(this->lease);
    const bool is_lost = (renewed_lease && !*renewed_lease) || (!renewed_lease && asked > this->renewed + key_lease);
    if (is_lost) {
        log_problem("orders_lost", {{"token", std::to_string(this->token)}});
        co_return false;
    }
    if (renewed_lease)
        this->renewed = asked;
    co_return true;
}

asio::awaitable<void> phase_controller::give_orders()
{
    const time_point now = runtime_clock::now();
    std::erase_if(this->changes, [now](const change_in_progress& change) { return change.until < now; });
    const config_ptr config = this->context.config;
    if (!config || now < this->first_order)
        co_return;
    for (const service& known : config->services) {
        while (known.kv_capacity_tokens > 0 && !this->is_stopped) {
            if (runtime_clock::now() > this->renewed + order_validity)
                co_return;
            const auto engine =
                surplus_reader(this->context.directory.usable(known.name), this->changing(), known.kv_capacity_tokens);
            if (!engine)
                break;
            co_await this->order(*engine, known);
        }
    }
}

asio::awaitable<void> phase_controller::order(endpoint engine, const service& known)
{
    http::call_options options;
    options.connect_timeout = connect_time;
    options.idle_timeout = order_time;
    options.fresh_connection = true;
    http::request call =
        this->context.dialect.make_phase_order(engine, endpoint_phase::decode, this->settings.host, this->token);
    const auto got = co_await this->context.calls.call(engine.address, std::move(call), std::move(options));
    constexpr unsigned first_refusal = 300;
    const bool is_taken = got && got->status < first_refusal;
    milliseconds pause = unanswered_pause;
    if (is_taken)
        pause = known.phase_change_time + entry_margin;
    this->report_order(engine, got, is_taken);
    change_in_progress change;
    change.incarnation = engine.incarnation();
    change.until = runtime_clock::now() + pause;
    if (is_taken) {
        // All hosts see an engine that changes as fully loaded, and send it nothing.
        endpoint_load all;
        all.calls = engine.slots;
        all.tokens = known.kv_capacity_tokens;
        all.pending_prefill_tokens = known.kv_capacity_tokens * engine.slots;
        change.mark = std::make_unique<load_guard>(this->context, change.incarnation, all);
    }
    this->changes.push_back(std::move(change));
}

void phase_controller::report_order(const endpoint& engine, const result<http::response>& got, bool is_taken) const
{
    log_state("phase_ordered", {{"endpoint", engine.id},
                                {"token", std::to_string(this->token)},
                                {"outcome", got ? std::to_string(got->status) : describe(got.error())}});
    count("radishstep_forward_orders_total", {{"taken", is_taken ? "yes" : "no"}});
}

std::vector<std::string> phase_controller::changing() const
{
    std::vector<std::string> names;
    names.reserve(this->changes.size());
    for (const change_in_progress& change : this->changes)
        names.push_back(change.incarnation);
    return names;
}

} // namespace radishstep::forward
