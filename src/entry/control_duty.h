#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/runtime_clock.h"
#include "entry/control_messages.h"
#include "entry/entry_settings.h"
#include "http/client.h"
#include "membership/member.h"
#include "routing/local_admission.h"
#include "routing/poison_list.h"

namespace radishstep {

namespace wire {
class frame_link;
class Message;
} // namespace wire

/// The entry process's control duty. It keeps links to the brokers that own cells, sends permit requests
/// to the cell's owner, reasserts open permits when the owner changes, and applies the configuration.
/// With a local admission policy it decides requests itself.
class control_duty
{
public:
    control_duty(const entry_settings& settings, std::int64_t incarnation, control_ring& inbox, traffic_ring& outbox);
    ~control_duty();
    control_duty(const control_duty&) = delete;
    control_duty& operator=(const control_duty&) = delete;

    /// Runs the duty on the calling thread; returns after stop().
    void run();

    /// Makes run() return; thread-safe.
    void stop();

    /// Returns true when the last membership view from a broker lists a host that may own cells; thread-safe.
    bool has_owner_candidates() const { return this->has_candidates; }

    /// Returns true when the last membership view lists this host as leaving; thread-safe.
    bool is_leaving() const { return this->is_host_leaving; }

    /// Returns the number of open permits and pending permit requests; thread-safe.
    std::size_t permit_and_request_count() const { return this->permit_count; }

private:
    /// A permit request and, once granted, its permit.
    struct permit_state
    {
        permit_request request;
        std::optional<permit_grant> grant;
        bool prefill_done = false;
        time_point requested_at;
        time_point last_sent_at;
    };
    /// This process's permits in one cell and the host that owns the cell.
    struct cell_state
    {
        std::string owner;
        std::map<permit_key, permit_state> permits;
        poison_list strikes;
    };
    /// The link to one broker. It stays without a link object while the broker is unreachable.
    struct peer_link
    {
        std::string address;
        std::int64_t incarnation = 0;
        std::shared_ptr<wire::frame_link> link;
        bool is_connecting = false;
        time_point next_attempt_at;
    };

    void drain_inbox();
    void handle(const to_control::request_permit& message);
    void handle(const to_control::release_permit& message);
    void handle(const to_control::report_prefill_done& message);
    void handle(const to_control::report_token_time& message);
    void on_message(const std::string& peer, const wire::Message& message);
    void on_grant(const permit_grant& grant);
    void on_refusal(const permit_refusal& refusal);
    void apply_view(membership_view next);
    void apply_config(std::int64_t version, const std::string& document);
    void update_owners();
    void reassert_cell(const std::string& name, cell_state& cell);
    void send_request(const std::string& name, cell_state& cell, permit_state& permit);
    void send_to_owner(const std::string& owner, const wire::Message& message);
    /// Releases a permit, or withdraws its request, without reporting any measured times.
    void send_release_without_timing(const std::string& name, const cell_state& cell, const permit_key& key);
    void update_links();
    void expire_requests();
    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> connect(std::string peer);
    void on_link_opened(const std::string& peer);
    void push_to_traffic(to_traffic::any message);
    /// Returns the cell's admission under a local policy, created on first use; nullptr when brokers decide.
    local_admission* get_local_admission(const std::string& cell_name);
    void decide_locally(const to_control::request_permit& message, local_admission& local);
    boost::asio::awaitable<void> poll_loads();
    boost::asio::awaitable<void> poll_load(endpoint_config endpoint, std::string pool);
    /// Returns the cell of an open permit or pending request and sets `name` to its name, or returns nullptr.
    cell_state* find_cell_of_permit(const permit_key& key, std::string& name);

    entry_settings settings;
    std::int64_t incarnation;
    control_ring& inbox;
    traffic_ring& outbox;
    boost::asio::io_context context;
    std::map<std::string, cell_state> cells;
    std::map<permit_key, std::string> cell_by_permit;
    std::map<std::string, peer_link> links;
    membership_view view;
    std::int64_t config_version = 0;
    /// Admission per cell under the policies that decide in this process instead of the brokers.
    std::map<std::string, local_admission> local_cells;
    site_config site;
    http::client http_client;
    std::atomic<bool> has_candidates{false};
    std::atomic<bool> is_host_leaving{false};
    std::atomic<std::size_t> permit_count{0};
};

} // namespace radishstep
