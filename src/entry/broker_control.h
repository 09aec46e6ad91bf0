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

/// The entry's control duty. It keeps links to the brokers that own cells, passes permit requests to
/// the cell's owner, asserts open permits again when the owner changes, and takes the configuration.
class broker_control
{
public:
    broker_control(const entry_settings& settings, std::int64_t incarnation, control_ring& inbox, traffic_ring& outbox);
    ~broker_control();
    broker_control(const broker_control&) = delete;
    broker_control& operator=(const broker_control&) = delete;

    /// Runs the duty on the calling thread until stop() is called.
    void run();

    /// Makes run() return; safe on all threads.
    void stop();

    /// Returns true while a broker has told who the members are and some take work; safe on all threads.
    bool has_view() const { return this->view_known; }

    /// Returns true while the fleet counts this host as leaving; safe on all threads.
    bool is_leaving() const { return this->host_leaving; }

    /// Returns how many permits and requests for permits are open; safe on all threads.
    std::size_t open_count() const { return this->open_permits; }

private:
    struct held_permit
    {
        permit_request wish;
        std::optional<permit_grant> grant;
        bool prefill_done = false;
        time_point asked_at;
        time_point last_sent;
    };
    struct cell_state
    {
        std::string owner;
        std::map<permit_key, held_permit> permits;
        poison_list strikes;
    };
    struct peer_link
    {
        std::string address;
        std::int64_t incarnation = 0;
        std::shared_ptr<wire::frame_link> link;
        bool connecting = false;
        time_point next_try;
    };

    void drain_inbox();
    void handle(const to_control::ask& message);
    void handle(const to_control::release& message);
    void handle(const to_control::prefilled& message);
    void handle(const to_control::pace& message);
    void on_message(const std::string& peer, const wire::Message& message);
    void on_grant(const permit_grant& grant);
    void on_refusal(const permit_refusal& refusal);
    void take_view(membership_view next);
    void take_config(std::int64_t version, const std::string& document);
    void update_owners();
    void assert_cell(const std::string& name, cell_state& cell);
    void send_ask(const std::string& name, cell_state& cell, held_permit& held);
    void send_to_owner(const std::string& owner, const wire::Message& message);
    void send_late_release(const std::string& name, const cell_state& cell, const permit_key& key);
    void keep_links();
    void expire_asks();
    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> connect(std::string peer);
    void link_opened(const std::string& peer);
    void push_to_traffic(to_traffic::any message);
    local_admission* local_of(const std::string& cell_name);
    void decide_locally(const to_control::ask& message, local_admission& local);
    boost::asio::awaitable<void> poll_loads();
    boost::asio::awaitable<void> poll_load(endpoint_config endpoint, std::string pool);
    cell_state* cell_of_permit(const permit_key& key, std::string& name);

    entry_settings settings;
    std::int64_t incarnation;
    control_ring& inbox;
    traffic_ring& outbox;
    boost::asio::io_context context;
    std::map<std::string, cell_state> cells;
    std::map<permit_key, std::string> cell_of_key;
    std::map<std::string, peer_link> links;
    membership_view view;
    std::int64_t config_version = 0;
    /// Used instead of the brokers by the policies that decide in this process.
    std::map<std::string, local_admission> local_cells;
    site_config site;
    http::client calls;
    std::atomic<bool> view_known{false};
    std::atomic<bool> host_leaving{false};
    std::atomic<std::size_t> open_permits{0};
};

} // namespace radishstep
