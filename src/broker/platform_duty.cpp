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

constexpr milliseconds watch_time{5'000};
constexpr milliseconds host_list_period{500};
constexpr milliseconds shortest_pause{100};
constexpr milliseconds longest_pause{1'000};

} // namespace

platform_duty::platform_duty(const broker_settings& settings, membership_ring& membership, cells_ring& cells)
    : membership(membership), cells(cells), context(1), calls(this->context.get_executor()),
      store(this->calls, settings.key_value), hosts(this->calls, settings.host_list)
{
}

void platform_duty::run()
{
    const auto work = asio::make_work_guard(this->context);
    asio::co_spawn(this->context, this->watch_config(), asio::detached);
    asio::co_spawn(this->context, this->poll_hosts(), asio::detached);
    this->context.run();
}

void platform_duty::stop()
{
    this->context.stop();
}

void platform_duty::set_watching(bool next)
{
    this->watching = next;
}

asio::awaitable<void> platform_duty::watch_config()
{
    std::int64_t index = 0;
    bool is_down = false;
    milliseconds pause = shortest_pause;
    while (true) {
        if (!this->watching) {
            co_await pause_for(longest_pause);
            continue;
        }
        const auto found = co_await this->store.watch(config_head_key, index, watch_time);
        if (found.has_value() == is_down) {
            is_down = !found.has_value();
            log_state(is_down ? "key_value_down" : "key_value_up", {});
        }
        if (!found || !found->has_value()) {
            co_await pause_for(pause);
            pause = std::min(pause * 2, longest_pause);
            continue;
        }
        pause = shortest_pause;
        if ((*found)->modify_index == index)
            continue;
        index = (*found)->modify_index;
        this->cells.push(to_cells::config{(*found)->value});
    }
}

asio::awaitable<void> platform_duty::poll_hosts()
{
    std::vector<listed_host> last;
    while (true) {
        const auto listed = co_await this->hosts.fetch();
        if (listed && *listed != last) {
            last = *listed;
            to_membership::seeds seeds;
            for (const listed_host& host : last) {
                if (host.is_router && !host.is_leaving)
                    seeds.addresses.push_back(host.address);
            }
            this->membership.push(seeds);
            this->cells.push(to_cells::host_list{last});
        }
        co_await pause_for(host_list_period);
    }
}

} // namespace radishstep
