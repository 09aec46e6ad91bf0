#include "broker/platform_duty.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"
#include "base/pause.h"
#include "config/config_document.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr milliseconds watch_timeout{5'000};
constexpr milliseconds host_list_period{500};
/// Delays between polls while the service fails or has no configuration, doubled up to the maximum. While the watch is
/// disabled, the maximum is also the interval at which this is checked.
constexpr milliseconds min_poll_delay{100};
constexpr milliseconds max_poll_delay{1'000};

} // namespace

platform_duty::platform_duty(const broker_settings& settings, membership_ring& membership_inbox,
                             cells_ring& cells_inbox)
    : membership_inbox(membership_inbox), cells_inbox(cells_inbox), context(1),
      http_client(this->context.get_executor()), key_values(this->http_client, settings.key_value),
      host_list(this->http_client, settings.host_list)
{
}

void platform_duty::run()
{
    const auto work = asio::make_work_guard(this->context);
    asio::co_spawn(this->context, this->watch_config(), asio::detached);
    asio::co_spawn(this->context, this->poll_host_list(), asio::detached);
    this->context.run();
}

void platform_duty::stop()
{
    this->context.stop();
}

void platform_duty::set_config_watch(bool enabled)
{
    this->is_watch_enabled = enabled;
}

asio::awaitable<void> platform_duty::watch_config()
{
    std::int64_t index = 0;
    bool is_unavailable = false;
    milliseconds poll_delay = min_poll_delay;
    while (true) {
        if (!this->is_watch_enabled) {
            co_await pause_for(max_poll_delay);
            continue;
        }
        const auto fetched = co_await this->key_values.watch(config_head_key, index, watch_timeout);
        if (fetched.has_value() == is_unavailable) {
            is_unavailable = !fetched.has_value();
            log_state(is_unavailable ? "key_value_down" : "key_value_up", {});
        }
        if (!fetched || !fetched->has_value()) {
            co_await pause_for(poll_delay);
            poll_delay = std::min(poll_delay * 2, max_poll_delay);
            continue;
        }
        poll_delay = min_poll_delay;
        if ((*fetched)->modify_index == index)
            continue;
        index = (*fetched)->modify_index;
        this->cells_inbox.push(to_cells::config{(*fetched)->value});
    }
}

asio::awaitable<void> platform_duty::poll_host_list()
{
    std::vector<listed_host> last_hosts;
    bool is_unavailable = false;
    while (true) {
        const auto listed = co_await this->host_list.fetch();
        if (listed.has_value() == is_unavailable) {
            is_unavailable = !listed.has_value();
            log_state(is_unavailable ? "host_list_down" : "host_list_up",
                      {{"cause", listed ? "" : describe(listed.error())}});
        }
        if (listed && *listed != last_hosts) {
            last_hosts = *listed;
            to_membership::seeds seeds;
            for (const listed_host& host : last_hosts) {
                if (host.is_router && !host.is_leaving)
                    seeds.addresses.push_back(host.address);
            }
            this->membership_inbox.push(seeds);
            this->cells_inbox.push(to_cells::host_list{last_hosts});
        }
        co_await pause_for(host_list_period);
    }
}

} // namespace radishstep
