#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/error.h"
#include "broker/broker_settings.h"
#include "broker/duty_messages.h"
#include "config/config_document.h"
#include "http/client.h"
#include "membership/member.h"
#include "routing/cell.h"

namespace radishstep {

namespace wire {
class frame_link;
class Message;
} // namespace wire

/// The broker's cells duty: owns this host's cells, answers the entry processes over their links,
/// asks endpoints what they hold, and passes the configuration on.
class cells_duty
{
public:
    cells_duty(const broker_settings& settings, cells_ring& inbox, membership_ring& membership,
               std::function<void(bool)> set_watching);
    ~cells_duty();
    cells_duty(const cells_duty&) = delete;
    cells_duty& operator=(const cells_duty&) = delete;

    /// Opens the link port, or says why it cannot.
    result<void> open();

    void run();
    void stop();

    /// Hands this host's cells over and returns from run() when the others had time to take them.
    void drain();

    /// Returns the duty's state as JSON; safe on all threads.
    std::string status() const;

private:
    /// One entry process, or another broker, that is connected.
    struct peer
    {
        std::shared_ptr<wire::frame_link> link;
        std::string holder;
        std::string host;
    };

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> probe_loop();
    boost::asio::awaitable<void> probe(std::string cell_name, endpoint_config endpoint);
    boost::asio::awaitable<void> cancel_job(std::string address, std::string job);
    boost::asio::awaitable<void> check_suspect(member suspect);
    boost::asio::awaitable<void> fetch_config(std::string link_address);
    boost::asio::awaitable<void> leave_and_stop();
    void drain_inbox();
    void handle(const to_cells::members& message);
    void handle(const to_cells::host_list& message);
    void handle(const to_cells::config& message);
    void handle(const to_cells::newer_config& message);
    void handle(const to_cells::drain& message);
    void add_peer(boost::asio::ip::tcp::socket socket);
    void remove_peer(std::uint64_t id);
    void on_message(std::uint64_t id, const wire::Message& message);
    void on_permit_request(const peer& sender, const wire::Message& message);
    void on_reassert(const peer& sender, const wire::Message& message);
    void carry_out(const std::string& cell_name, const cell_decisions& decisions);
    void send_to_holder(const std::string& holder, const wire::Message& message);
    void take_document(const std::string& text, bool from_peer);
    void take_pending_document();
    void push_config(const peer& to) const;
    void push_view();
    void update_ownership();
    void update_watching();
    void start_rebuild(cell& owned, const std::string& reason);
    membership_view current_view() const;
    bool is_host_sure(const std::string& host) const;
    cell* find_cell(const std::string& name);
    void refresh_status();

    broker_settings settings;
    cells_ring& inbox;
    membership_ring& membership;
    std::function<void(bool)> set_watching;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor listener;
    http::client calls;
    std::map<std::uint64_t, peer> peers;
    std::map<std::string, std::uint64_t> peer_of_holder;
    std::set<std::string> hosts_heard;
    std::uint64_t last_peer = 0;
    std::map<std::string, cell> cells;
    std::vector<member> members;
    std::vector<listed_host> listed;
    std::string document_text;
    std::int64_t config_version = 0;
    site_config site;
    std::int64_t highest_heard = 0;
    std::string pending_document;
    time_point started;
    time_point last_tick;
    bool fetching = false;
    bool leaving = false;
    mutable std::mutex status_mutex;
    std::string status_text = "{}";
};

} // namespace radishstep
