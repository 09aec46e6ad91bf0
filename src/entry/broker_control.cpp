#include "entry/broker_control.h"

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

constexpr milliseconds tick_time{50};
constexpr milliseconds reconnect_time{200};
constexpr milliseconds resend_time{300};
constexpr milliseconds load_poll_time{250};

/// How long past its patience a request for a permit may wait for the broker's own refusal.
constexpr milliseconds refusal_slack{500};

/// The link to this host's own broker goes by this name until the view tells the host's.
constexpr const char* local_peer = "";

} // namespace

broker_control::broker_control(const entry_settings& settings, std::int64_t incarnation, control_ring& inbox,
                               traffic_ring& outbox)
    : settings(settings), incarnation(incarnation), inbox(inbox), outbox(outbox), context(1),
      calls(this->context.get_executor())
{
    this->links[local_peer].address = settings.broker;
    this->inbox.on_wake([this] { asio::post(this->context, [this] { this->drain_inbox(); }); });
}

broker_control::~broker_control() = default;

void broker_control::run()
{
    const auto work = asio::make_work_guard(this->context);
    asio::co_spawn(this->context, this->tick_loop(), asio::detached);
    asio::co_spawn(this->context, this->poll_loads(), asio::detached);
    this->context.run();
}

void broker_control::stop()
{
    this->context.stop();
}

void broker_control::drain_inbox()
{
    while (const auto message = this->inbox.pop())
        std::visit([this](const auto& content) { this->handle(content); }, *message);
    this->open_permits = this->cell_of_key.size();
}

void broker_control::handle(const to_control::ask& message)
{
    if (local_admission* const local = this->local_of(message.cell)) {
        this->decide_locally(message, *local);
        return;
    }
    const bool is_new_cell = !this->cells.contains(message.cell);
    cell_state& cell = this->cells[message.cell];
    if (is_new_cell) {
        this->update_owners();
        this->keep_links();
    }
    held_permit held;
    held.wish = message.wish;
    held.asked_at = runtime_clock::now();
    const auto [placed, is_new] = cell.permits.emplace(message.wish.key, std::move(held));
    this->cell_of_key[message.wish.key] = message.cell;
    this->send_ask(message.cell, cell, placed->second);
}

void broker_control::handle(const to_control::release& message)
{
    if (local_admission* const local = this->local_of(message.cell)) {
        local->release(message.done.key);
        return;
    }
    cell_state& cell = this->cells[message.cell];
    cell.permits.erase(message.done.key);
    this->cell_of_key.erase(message.done.key);
    if (!message.done.died.empty())
        cell.strikes.strike(message.done.fingerprint, runtime_clock::now());
    wire::Message told;
    told.__set_release(wire::to_wire(message.done, message.cell));
    this->send_to_owner(cell.owner, told);
}

void broker_control::handle(const to_control::prefilled& message)
{
    if (local_admission* const local = this->local_of(message.cell)) {
        local->prefill_done(message.key, message.prefill_time, runtime_clock::now());
        return;
    }
    cell_state& cell = this->cells[message.cell];
    const auto held = cell.permits.find(message.key);
    if (held != cell.permits.end())
        held->second.prefill_done = true;
    wire::PrefillDone done;
    done.request = message.key.request;
    done.attempt = message.key.attempt;
    done.cell = message.cell;
    done.prefill_us =
        static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::microseconds>(message.prefill_time).count());
    wire::Message told;
    told.__set_prefill_done(done);
    this->send_to_owner(cell.owner, told);
}

void broker_control::handle(const to_control::pace& message)
{
    if (this->local_of(message.cell) != nullptr)
        return;
    wire::Pace pace;
    pace.cell = message.cell;
    pace.endpoint = message.endpoint;
    pace.token_us =
        static_cast<std::int32_t>(std::chrono::duration_cast<std::chrono::microseconds>(message.token_time).count());
    wire::Message told;
    told.__set_pace(pace);
    this->send_to_owner(this->cells[message.cell].owner, told);
}

void broker_control::on_message(const std::string& peer, const wire::Message& message)
{
    if (message.__isset.grant)
        this->on_grant(wire::from_wire(message.grant));
    else if (message.__isset.refusal)
        this->on_refusal(wire::from_wire(message.refusal));
    else if (message.__isset.view && (peer == local_peer || !this->links[local_peer].link))
        this->take_view(wire::from_wire(message.view));
    else if (message.__isset.config_push)
        this->take_config(message.config_push.version, message.config_push.document);
}

void broker_control::on_grant(const permit_grant& grant)
{
    std::string name;
    cell_state* const cell = this->cell_of_permit(grant.key, name);
    if (cell == nullptr) {
        // The request ended meanwhile; its release may have gone to an earlier owner.
        for (const auto& [cell_name, state] : this->cells)
            this->send_late_release(cell_name, state, grant.key);
        return;
    }
    held_permit& held = cell->permits.at(grant.key);
    if (held.grant)
        return;
    held.grant = grant;
    this->push_to_traffic(grant);
}

void broker_control::on_refusal(const permit_refusal& refusal)
{
    std::string name;
    cell_state* const cell = this->cell_of_permit(refusal.key, name);
    if (cell == nullptr)
        return;
    held_permit& held = cell->permits.at(refusal.key);
    const bool broker_is_not_owner = refusal.kind == error_kind::unavailable;
    if (broker_is_not_owner || held.grant)
        return;
    cell->permits.erase(refusal.key);
    this->cell_of_key.erase(refusal.key);
    this->push_to_traffic(refusal);
}

void broker_control::take_view(membership_view next)
{
    if (next.leaving != this->view.leaving)
        this->push_to_traffic(to_traffic::leaving_hosts{next.leaving});
    this->view = std::move(next);
    this->view_known = !owner_candidates(this->view.members, this->settings.region).empty();
    this->host_leaving = std::any_of(this->view.members.begin(), this->view.members.end(), [this](const member& known) {
        return known.host == this->settings.host && known.state == member_state::leaving;
    });
    this->update_owners();
    this->keep_links();
}

void broker_control::take_config(std::int64_t version, const std::string& document)
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

void broker_control::update_owners()
{
    for (auto& [name, cell] : this->cells) {
        const std::string owner = find_cell_owner(name, this->view.members, this->settings.region);
        if (owner == cell.owner)
            continue;
        process_events().record("cell_owner", "", name + " " + cell.owner + " -> " + owner);
        cell.owner = owner;
        this->assert_cell(name, cell);
    }
}

void broker_control::assert_cell(const std::string& name, cell_state& cell)
{
    const auto found = this->links.find(cell.owner);
    if (found == this->links.end() || !found->second.link)
        return;
    std::vector<open_permit> open;
    for (const auto& [key, held] : cell.permits) {
        if (held.grant)
            open.push_back({held.wish, held.grant->prefill, held.grant->decode, held.prefill_done});
    }
    wire::Message message;
    message.__set_reassert(wire::to_wire(name, open, cell.strikes.entries(runtime_clock::now())));
    found->second.link->send(message);
    for (auto& [key, held] : cell.permits) {
        if (!held.grant)
            this->send_ask(name, cell, held);
    }
}

void broker_control::send_ask(const std::string& name, cell_state& cell, held_permit& held)
{
    held.last_sent = runtime_clock::now();
    permit_request wish = held.wish;
    wish.waited += held.last_sent - held.asked_at;
    wire::Message message;
    message.__set_permit_request(wire::to_wire(wish, name));
    this->send_to_owner(cell.owner, message);
}

void broker_control::send_to_owner(const std::string& owner, const wire::Message& message)
{
    const auto found = this->links.find(owner);
    if (owner.empty() || found == this->links.end() || !found->second.link)
        return;
    found->second.link->send(message);
}

void broker_control::send_late_release(const std::string& name, const cell_state& cell, const permit_key& key)
{
    permit_release done;
    done.key = key;
    wire::Message message;
    message.__set_release(wire::to_wire(done, name));
    this->send_to_owner(cell.owner, message);
}

void broker_control::keep_links()
{
    std::set<std::string> wanted{local_peer};
    for (const auto& [name, cell] : this->cells) {
        if (!cell.owner.empty())
            wanted.insert(cell.owner);
    }
    for (const member& known : this->view.members) {
        if (!wanted.contains(known.host))
            continue;
        peer_link& peer = this->links[known.host];
        const bool has_restarted = peer.incarnation != 0 && peer.incarnation < known.incarnation;
        if (has_restarted)
            peer.next_try = {};
        peer.address = known.link_address();
        peer.incarnation = known.incarnation;
    }
    for (auto item = this->links.begin(); item != this->links.end();) {
        const bool is_idle = !item->second.connecting && !wanted.contains(item->first);
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
        if (peer.link || peer.connecting || peer.address.empty() || now < peer.next_try)
            continue;
        peer.connecting = true;
        asio::co_spawn(this->context, this->connect(name), asio::detached);
    }
}

asio::awaitable<void> broker_control::connect(std::string peer)
{
    asio::ip::tcp::socket socket{this->context};
    const auto endpoint = http::parse_address(this->links[peer].address);
    boost::system::error_code failure = asio::error::invalid_argument;
    if (endpoint)
        co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    peer_link& entry = this->links[peer];
    entry.connecting = false;
    entry.next_try = runtime_clock::now() + reconnect_time;
    if (failure) {
        const bool nothing_listens = failure == asio::error::connection_refused;
        const auto local = this->links.find(local_peer);
        if (nothing_listens && peer != local_peer && local->second.link) {
            wire::PeerRefused refused;
            refused.host = peer;
            refused.incarnation = entry.incarnation;
            wire::Message message;
            message.__set_peer_refused(refused);
            local->second.link->send(message);
        }
        co_return;
    }
    entry.link = std::make_shared<wire::frame_link>(std::move(socket));
    entry.link->on_message([this, peer](const wire::Message& message) { this->on_message(peer, message); });
    entry.link->on_closed([this, peer] {
        const auto found = this->links.find(peer);
        if (found == this->links.end())
            return;
        found->second.link = nullptr;
        found->second.next_try = {};
        process_events().record("link_closed", "", peer);
    });
    entry.link->start();
    this->link_opened(peer);
}

void broker_control::link_opened(const std::string& peer)
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
            this->assert_cell(name, cell);
    }
}

void broker_control::expire_asks()
{
    const time_point now = runtime_clock::now();
    std::vector<permit_refusal> refusals;
    for (auto& [name, cell] : this->cells) {
        for (auto& [key, held] : cell.permits) {
            if (held.grant)
                continue;
            if (held.asked_at + held.wish.patience + refusal_slack <= now)
                refusals.push_back({key, "", error_kind::no_endpoint, held.wish.patience});
            else if (held.last_sent + resend_time <= now)
                this->send_ask(name, cell, held);
        }
    }
    for (const permit_refusal& refusal : refusals) {
        std::string name;
        cell_state* const cell = this->cell_of_permit(refusal.key, name);
        this->send_late_release(name, *cell, refusal.key);
        this->on_refusal(refusal);
    }
}

asio::awaitable<void> broker_control::tick_loop()
{
    while (true) {
        this->drain_inbox();
        this->keep_links();
        this->expire_asks();
        co_await pause_for(tick_time);
    }
}

local_admission* broker_control::local_of(const std::string& cell_name)
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

void broker_control::decide_locally(const to_control::ask& message, local_admission& local)
{
    const cell_decision decision = local.ask(message.wish, runtime_clock::now());
    if (const auto* grant = std::get_if<permit_grant>(&decision))
        this->push_to_traffic(*grant);
    else
        this->push_to_traffic(std::get<permit_refusal>(decision));
}

asio::awaitable<void> broker_control::poll_loads()
{
    while (this->settings.policy == admission_policy::least_reported) {
        for (const pool_config& pool : this->site.pools) {
            for (const endpoint_config& endpoint : pool.endpoints)
                asio::co_spawn(this->context, this->poll_load(endpoint, pool.name), asio::detached);
        }
        co_await pause_for(load_poll_time);
    }
}

asio::awaitable<void> broker_control::poll_load(endpoint_config endpoint, std::string pool)
{
    http::request question = http::get_request("/v1/load");
    const http::call_options options;
    const auto answer = co_await this->calls.call(endpoint.address, std::move(question), options);
    local_admission* const local = this->local_of(pool);
    const auto json = nlohmann::json::parse(answer ? answer->body : std::string{}, nullptr, false);
    if (local != nullptr && json.is_object())
        local->record_reported_load(endpoint.name, json.value("load", 0));
}

void broker_control::push_to_traffic(to_traffic::any message)
{
    if (!this->outbox.push(std::move(message)))
        count("radishstep_ring_full_total", {{"ring", "traffic"}});
}

broker_control::cell_state* broker_control::cell_of_permit(const permit_key& key, std::string& name)
{
    const auto found = this->cell_of_key.find(key);
    if (found == this->cell_of_key.end())
        return nullptr;
    name = found->second;
    return &this->cells.at(name);
}

} // namespace radishstep
