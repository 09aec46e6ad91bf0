#include "entry/control_duty.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "config/config_document.h"
#include "http/server.h"
#include "membership/member_wire.h"
#include "routing/permit_wire.h"
#include "wire/frame_link.h"
#include "wire/generated/radishstep_types.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tick_period{50};
constexpr milliseconds reconnect_delay{200};
constexpr milliseconds resend_interval{300};
constexpr milliseconds load_poll_interval{250};

/// Extra time after a request's patience in which the broker's own refusal may arrive.
constexpr milliseconds refusal_grace{500};

/// Key of the link to this host's own broker, which is opened before any membership view is known.
constexpr const char* own_broker = "";

} // namespace

control_duty::control_duty(const entry_settings& settings, std::int64_t incarnation, control_ring& inbox,
                           traffic_ring& outbox)
    : settings(settings), incarnation(incarnation), inbox(inbox), outbox(outbox), context(1),
      http_client(this->context.get_executor())
{
    this->links[own_broker].address = settings.broker;
    this->inbox.on_wake([this] { asio::post(this->context, [this] { this->drain_inbox(); }); });
}

control_duty::~control_duty() = default;

void control_duty::run()
{
    const auto work = asio::make_work_guard(this->context);
    asio::co_spawn(this->context, this->tick_loop(), asio::detached);
    asio::co_spawn(this->context, this->poll_loads(), asio::detached);
    this->context.run();
}

void control_duty::stop()
{
    this->context.stop();
}

void control_duty::drain_inbox()
{
    while (const auto message = this->inbox.pop())
        std::visit([this](const auto& content) { this->handle(content); }, *message);
    this->permit_count = this->cell_by_permit.size();
}

void control_duty::handle(const to_control::request_permit& message)
{
    if (local_admission* const local = this->get_local_admission(message.cell)) {
        this->decide_locally(message, *local);
        return;
    }
    const bool is_new_cell = !this->cells.contains(message.cell);
    cell_state& cell = this->cells[message.cell];
    if (is_new_cell) {
        this->update_owners();
        this->update_links();
    }
    permit_state permit;
    permit.request = message.request;
    permit.requested_at = runtime_clock::now();
    const auto [added, is_new] = cell.permits.emplace(message.request.key, std::move(permit));
    this->cell_by_permit[message.request.key] = message.cell;
    this->send_request(message.cell, cell, added->second);
}

void control_duty::handle(const to_control::release_permit& message)
{
    if (local_admission* const local = this->get_local_admission(message.cell)) {
        local->release(message.release.key);
        return;
    }
    cell_state& cell = this->cells[message.cell];
    cell.permits.erase(message.release.key);
    this->cell_by_permit.erase(message.release.key);
    if (!message.release.died.empty())
        cell.strikes.record_death(message.release.fingerprint, runtime_clock::now());
    wire::Message outgoing;
    outgoing.__set_release(wire::to_wire(message.release, message.cell));
    this->send_to_owner(cell.owner, outgoing);
}

void control_duty::handle(const to_control::report_prefill_done& message)
{
    if (local_admission* const local = this->get_local_admission(message.cell)) {
        local->on_prefill_done(message.key, message.prefill_time, runtime_clock::now());
        return;
    }
    cell_state& cell = this->cells[message.cell];
    const auto permit = cell.permits.find(message.key);
    if (permit != cell.permits.end())
        permit->second.prefill_done = true;
    wire::PrefillDone done;
    done.request = message.key.request_id;
    done.attempt = message.key.attempt;
    done.cell = message.cell;
    done.prefill_us =
        static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::microseconds>(message.prefill_time).count());
    wire::Message outgoing;
    outgoing.__set_prefill_done(done);
    this->send_to_owner(cell.owner, outgoing);
}

void control_duty::handle(const to_control::report_token_time& message)
{
    if (this->get_local_admission(message.cell) != nullptr)
        return;
    wire::Pace pace;
    pace.cell = message.cell;
    pace.endpoint = message.endpoint;
    pace.token_us =
        static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::microseconds>(message.token_time).count());
    wire::Message outgoing;
    outgoing.__set_pace(pace);
    this->send_to_owner(this->cells[message.cell].owner, outgoing);
}

void control_duty::on_message(const std::string& peer, const wire::Message& message)
{
    if (message.__isset.grant)
        this->on_grant(wire::from_wire(message.grant));
    else if (message.__isset.refusal)
        this->on_refusal(wire::from_wire(message.refusal));
    // A view of another broker counts only while there is no link to this host's own broker.
    else if (message.__isset.view && (peer == own_broker || !this->links[own_broker].link))
        this->apply_view(wire::from_wire(message.view));
    else if (message.__isset.config_push)
        this->apply_config(message.config_push.version, message.config_push.document);
}

void control_duty::on_grant(const permit_grant& grant)
{
    std::string name;
    cell_state* const cell = this->find_cell_of_permit(grant.key, name);
    if (cell == nullptr) {
        // The request has ended meanwhile, and its release may have gone to a previous owner of the cell.
        for (const auto& [cell_name, state] : this->cells)
            this->send_release_without_timing(cell_name, state, grant.key);
        return;
    }
    permit_state& permit = cell->permits.at(grant.key);
    if (permit.grant)
        return;
    permit.grant = grant;
    this->push_to_traffic(grant);
}

void control_duty::on_refusal(const permit_refusal& refusal)
{
    std::string name;
    cell_state* const cell = this->find_cell_of_permit(refusal.key, name);
    if (cell == nullptr)
        return;
    permit_state& permit = cell->permits.at(refusal.key);
    const bool broker_is_not_owner = refusal.kind == error_kind::unavailable;
    if (broker_is_not_owner || permit.grant)
        return;
    cell->permits.erase(refusal.key);
    this->cell_by_permit.erase(refusal.key);
    this->push_to_traffic(refusal);
}

void control_duty::apply_view(membership_view next)
{
    if (next.leaving != this->view.leaving)
        this->push_to_traffic(to_traffic::leaving_hosts{next.leaving});
    this->view = std::move(next);
    this->has_candidates = !owner_candidates(this->view.members, this->settings.region).empty();
    this->is_host_leaving =
        std::any_of(this->view.members.begin(), this->view.members.end(), [this](const member& known) {
            return known.host == this->settings.host && known.state == member_state::leaving;
        });
    this->update_owners();
    this->update_links();
}

void control_duty::apply_config(std::int64_t version, const std::string& document)
{
    if (version <= this->config_version)
        return;
    const auto parsed = parse_config_document(document);
    const auto site = parsed ? build_site_config(*parsed, this->settings.site) : tl::unexpected{parsed.error()};
    if (!site) {
        log_problem("config_unusable", {{"version", std::to_string(version)}, {"cause", describe(site.error())}});
        return;
    }
    this->config_version = version;
    process_events().record("config_in_force", "", "version=" + std::to_string(version));
    log_state("config_in_force", {{"version", std::to_string(version)}});
    set_gauge("radishstep_config_version", static_cast<double>(version));
    this->site = *site;
    this->push_to_traffic(to_traffic::config{std::make_shared<const site_config>(*site)});
}

void control_duty::update_owners()
{
    for (auto& [name, cell] : this->cells) {
        const std::string owner = find_cell_owner(name, this->view.members, this->settings.region);
        if (owner == cell.owner)
            continue;
        process_events().record("cell_owner", "", name + " " + cell.owner + " -> " + owner);
        cell.owner = owner;
        this->reassert_cell(name, cell);
    }
}

void control_duty::reassert_cell(const std::string& name, cell_state& cell)
{
    const auto found = this->links.find(cell.owner);
    if (found == this->links.end() || !found->second.link)
        return;
    std::vector<open_permit> open_permits;
    for (const auto& [key, permit] : cell.permits) {
        if (permit.grant)
            open_permits.push_back({permit.request, permit.grant->prefill, permit.grant->decode, permit.prefill_done});
    }
    wire::Message message;
    message.__set_reassert(wire::to_wire(name, open_permits, cell.strikes.entries(runtime_clock::now())));
    found->second.link->send(message);
    for (auto& [key, permit] : cell.permits) {
        if (!permit.grant)
            this->send_request(name, cell, permit);
    }
}

void control_duty::send_request(const std::string& name, cell_state& cell, permit_state& permit)
{
    permit.last_sent_at = runtime_clock::now();
    permit_request request = permit.request;
    request.waited += permit.last_sent_at - permit.requested_at;
    wire::Message message;
    message.__set_permit_request(wire::to_wire(request, name));
    this->send_to_owner(cell.owner, message);
}

void control_duty::send_to_owner(const std::string& owner, const wire::Message& message)
{
    const auto found = this->links.find(owner);
    if (owner.empty() || found == this->links.end() || !found->second.link)
        return;
    found->second.link->send(message);
}

void control_duty::send_release_without_timing(const std::string& name, const cell_state& cell, const permit_key& key)
{
    permit_release done;
    done.key = key;
    wire::Message message;
    message.__set_release(wire::to_wire(done, name));
    this->send_to_owner(cell.owner, message);
}

void control_duty::update_links()
{
    std::set<std::string> needed_peers{own_broker};
    for (const auto& [name, cell] : this->cells) {
        if (!cell.owner.empty())
            needed_peers.insert(cell.owner);
    }
    for (const member& known : this->view.members) {
        if (!needed_peers.contains(known.host))
            continue;
        peer_link& peer = this->links[known.host];
        const bool has_restarted = peer.incarnation != 0 && peer.incarnation < known.incarnation;
        if (has_restarted)
            peer.next_attempt_at = {};
        peer.address = known.link_address();
        peer.incarnation = known.incarnation;
    }
    for (auto item = this->links.begin(); item != this->links.end();) {
        const bool is_idle = !item->second.is_connecting && !needed_peers.contains(item->first);
        if (!is_idle) {
            ++item;
            continue;
        }
        const auto link = item->second.link;
        item = this->links.erase(item);
        if (link)
            link->close();
    }
    const time_point now = runtime_clock::now();
    for (auto& [name, peer] : this->links) {
        if (peer.link || peer.is_connecting || peer.address.empty() || now < peer.next_attempt_at)
            continue;
        peer.is_connecting = true;
        asio::co_spawn(this->context, this->connect(name), asio::detached);
    }
}

asio::awaitable<void> control_duty::connect(std::string peer)
{
    asio::ip::tcp::socket socket{this->context};
    const auto endpoint = http::parse_address(this->links[peer].address);
    boost::system::error_code failure = asio::error::invalid_argument;
    if (endpoint)
        co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    peer_link& peer_state = this->links[peer];
    peer_state.is_connecting = false;
    peer_state.next_attempt_at = runtime_clock::now() + reconnect_delay;
    if (failure) {
        // A refused connection shows that the peer's process has ended; the own broker then declares that incarnation
        // dead at once, see membership_duty::handle(peer_refused).
        const bool is_connection_refused = failure == asio::error::connection_refused;
        const auto broker = this->links.find(own_broker);
        if (is_connection_refused && peer != own_broker && broker->second.link) {
            wire::PeerRefused refused;
            refused.host = peer;
            refused.incarnation = peer_state.incarnation;
            wire::Message message;
            message.__set_peer_refused(refused);
            broker->second.link->send(message);
        }
        co_return;
    }
    peer_state.link = std::make_shared<wire::frame_link>(std::move(socket));
    peer_state.link->on_message([this, peer](const wire::Message& message) { this->on_message(peer, message); });
    peer_state.link->on_closed([this, peer] {
        const auto found = this->links.find(peer);
        if (found == this->links.end())
            return;
        found->second.link = nullptr;
        found->second.next_attempt_at = {};
        process_events().record("link_closed", "", peer);
    });
    peer_state.link->start();
    this->on_link_opened(peer);
}

void control_duty::on_link_opened(const std::string& peer)
{
    process_events().record("link_opened", "", peer);
    wire::Hello hello;
    hello.process = "entry";
    hello.host = this->settings.host;
    hello.incarnation = this->incarnation;
    wire::Message message;
    message.__set_hello(hello);
    this->links[peer].link->send(message);
    for (auto& [name, cell] : this->cells) {
        if (cell.owner == peer)
            this->reassert_cell(name, cell);
    }
}

void control_duty::expire_requests()
{
    const time_point now = runtime_clock::now();
    std::vector<permit_refusal> refusals;
    for (auto& [name, cell] : this->cells) {
        for (auto& [key, permit] : cell.permits) {
            if (permit.grant)
                continue;
            if (permit.requested_at + permit.request.patience + refusal_grace <= now)
                refusals.push_back({key, "", error_kind::no_endpoint, permit.request.patience});
            else if (permit.last_sent_at + resend_interval <= now)
                this->send_request(name, cell, permit);
        }
    }
    for (const permit_refusal& refusal : refusals) {
        std::string name;
        cell_state* const cell = this->find_cell_of_permit(refusal.key, name);
        this->send_release_without_timing(name, *cell, refusal.key);
        this->on_refusal(refusal);
    }
}

asio::awaitable<void> control_duty::tick_loop()
{
    while (true) {
        this->drain_inbox();
        this->update_links();
        this->expire_requests();
        co_await pause_for(tick_period);
    }
}

local_admission* control_duty::get_local_admission(const std::string& cell_name)
{
    if (this->settings.policy == admission_policy::cell)
        return nullptr;
    const auto seed = static_cast<std::uint64_t>(this->incarnation);
    const auto [found, is_new] = this->local_cells.try_emplace(cell_name, this->settings.policy, seed);
    const pool_config* const pool = this->site.find_pool(cell_name);
    if (is_new && pool != nullptr)
        found->second.configure(*pool);
    found->second.set_entry_process_count(owner_candidates(this->view.members, this->settings.region).size());
    return &found->second;
}

void control_duty::decide_locally(const to_control::request_permit& message, local_admission& local)
{
    const cell_decision decision = local.decide(message.request, runtime_clock::now());
    if (const auto* grant = std::get_if<permit_grant>(&decision))
        this->push_to_traffic(*grant);
    else
        this->push_to_traffic(std::get<permit_refusal>(decision));
}

asio::awaitable<void> control_duty::poll_loads()
{
    while (this->settings.policy == admission_policy::least_reported) {
        for (const pool_config& pool : this->site.pools) {
            for (const endpoint_config& endpoint : pool.endpoints)
                asio::co_spawn(this->context, this->poll_load(endpoint, pool.name), asio::detached);
        }
        co_await pause_for(load_poll_interval);
    }
}

asio::awaitable<void> control_duty::poll_load(endpoint_config endpoint, std::string pool)
{
    http::request load_request = http::get_request("/v1/load");
    const http::call_options options;
    const auto response = co_await this->http_client.call(endpoint.address, std::move(load_request), options);
    local_admission* const local = this->get_local_admission(pool);
    const auto json = nlohmann::json::parse(response ? response->body : std::string{}, nullptr, false);
    if (local != nullptr && json.is_object())
        local->record_reported_load(endpoint.name, json.value("load", 0));
}

void control_duty::push_to_traffic(to_traffic::any message)
{
    if (!this->outbox.push(std::move(message)))
        count("radishstep_ring_full_total", {{"ring", "traffic"}});
}

control_duty::cell_state* control_duty::find_cell_of_permit(const permit_key& key, std::string& name)
{
    const auto found = this->cell_by_permit.find(key);
    if (found == this->cell_by_permit.end())
        return nullptr;
    name = found->second;
    return &this->cells.at(name);
}

} // namespace radishstep
