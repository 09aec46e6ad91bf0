#include "entry/traffic_context.h"

#include <utility>

#include "base/metrics.h"

namespace radishstep {

traffic_context::traffic_context(boost::asio::any_io_executor executor, entry_settings settings,
                                 std::int64_t incarnation, control_ring& control_inbox)
    : executor(executor), settings(std::move(settings)), incarnation(incarnation), control_inbox(control_inbox),
      http_client(executor), store(this->http_client, this->settings.key_value), claims(this->store)
{
}

std::string traffic_context::next_request_id()
{
    return this->settings.host + ":" + std::to_string(this->incarnation) + ":" +
           std::to_string(++this->last_request_number);
}

bool traffic_context::push_to_control(to_control::any message)
{
    if (this->control_inbox.push(std::move(message)))
        return true;
    count("radishstep_ring_full_total", {{"ring", "control"}});
    return false;
}

std::string traffic_context::find_endpoint_address(const std::string& endpoint) const
{
    for (const pool_config& pool : this->site->pools) {
        for (const endpoint_config& config : pool.endpoints) {
            if (config.name == endpoint)
                return config.address;
        }
    }
    return {};
}

} // namespace radishstep
