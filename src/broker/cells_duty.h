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

/// Runs the cells that this host owns: answers the permit requests of entry processes, probes the
/// endpoints of the cells, and distributes the configuration to entry processes and other brokers.
class cells_duty
{
public:
    cells_duty(const broker_settings& settings, cells_ring& inbox, membership_ring& membership_inbox,
               std::function<void(bool)> set_config_watch);
    ~cells_duty();
    cells_duty(const cells_duty&) = delete;
    cells_duty& operator=(const cells_duty&) = delete;

    /// Opens the link port; returns the reason when it cannot be bound.
    result<void> open();

    /// Runs the duty on the calling thread until stop() is called or a drain has ended.
    void run();

    /// Makes run() return; safe on all threads.
    void stop();

    /// Announces that this host is leaving, and makes run() return once the other hosts had time to
    /// become owners of its cells; safe on all threads.
    void drain();

    /// Returns the duty's state as JSON; safe on all threads.
    std::string status() const;

private:
    /// A connected entry process or broker.
    struct peer
    {
        std::shared_ptr<wire::frame_link> link;
        /// The name under which an entry process holds permits, "host/incarnation"; empty for a broker.
        std::string holder;
        std::string host;
    };

    boost::asio::awaitable<void> accept_loop();
    boost::asio::awaitable<void> tick_loop();
    boost::asio::awaitable<void> probe_loop();
    boost::asio::awaitable<void> probe(std::string cell_name, endpoint_config endpoint);
    boost::asio::awaitable<void> cancel_job(std::string address, std::string job);
    /// Connects to a suspect host: a refused connection shows at once that its broker is not running.
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
    void execute_decisions(const std::string& cell_name, const cell_decisions& decisions);
    void send_to_holder(const std::string& holder, const wire::Message& message);
    void apply_document(const std::string& text, bool is_from_peer);
    void apply_pending_document();
    void push_config(const peer& receiver) const;
    void push_view();
    void update_ownership();
    void update_config_watch();
    void start_rebuild(cell& owned, const std::string& reason);
    membership_view current_view() const;
    /// Returns true when all permits of a host's entry process are known here: it has reasserted them since
    /// the last rebuild began, or the host is not a member.
    bool is_host_reconciled(const std::string& host) const;
    cell* find_cell(const std::string& name);
    void refresh_status();

    broker_settings settings;
    cells_ring& inbox;
    membership_ring& membership_inbox;
    std::function<void(bool)> set_config_watch;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor listener;
    http::client http_client;
    std::map<std::uint64_t, peer> peers;
    std::map<std::string, std::uint64_t> peer_id_by_holder;
    /// The hosts whose entry processes have reasserted their permits since the last rebuild began.
    std::set<std::string> reasserted_hosts;
    std::uint64_t last_peer_id = 0;
    std::map<std::string, cell> cells;
    std::vector<member> members;
    std::vector<listed_host> listed_hosts;
    std::string config_document;
    std::int64_t config_version = 0;
    site_config site;
    /// The highest configuration version that any peer has advertised.
    std::int64_t max_peer_config_version = 0;
    /// A configuration document that is not applied yet, because a peer may have a newer one; retried on each tick.
    std::string pending_document;
    time_point started_at;
    time_point last_tick_at;
    bool is_fetching_config = false;
    bool is_draining = false;
    mutable std::mutex status_mutex;
    std::string status_text = "{}";
};

} // namespace radishstep
