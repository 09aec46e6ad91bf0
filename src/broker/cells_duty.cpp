#include "broker/cells_duty.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "http/server.h"
#include "membership/member_wire.h"
#include "routing/permit_wire.h"
#include "wire/frame_link.h"
#include "wire/generated/radishstep_types.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tick_period{10};

/// A longer gap between two ticks means that this process was paused.
constexpr milliseconds pause_threshold{1'000};

constexpr milliseconds probe_timeout{1'000};
constexpr milliseconds cancel_timeout{1'000};

/// How long a leaving host waits for the other hosts to become owners of its cells.
constexpr milliseconds handover_wait{1'500};

constexpr milliseconds config_fetch_timeout{2'000};
constexpr milliseconds status_period{200};
constexpr unsigned status_ok = 200;

/// How long a starting host waits for the configuration versions of its peers, in gossip, before it applies
/// a document of the key-value service, which may be older.
constexpr milliseconds peer_version_wait{800};

/// How many hosts of a region watch the configuration in the key-value service; the others learn of new
/// versions by gossip and fetch them from a peer.
constexpr std::size_t max_watchers_per_region = 3;

http::request make_cancel_request(const std::string& job)
{
    return http::json_request("POST", "/v1/cancel", nlohmann::json{{"job", job}}.dump());
}

std::vector<std::string> parse_jobs(const nlohmann::json& json)
{
    std::vector<std::string> jobs;
    for (const auto& job : json.value("jobs", nlohmann::json::array())) {
        if (job.is_string())
            jobs.push_back(job.get<std::string>());
    }
    return jobs;
}

endpoint_report parse_report(const std::string& endpoint, const result<http::response>& response)
{
    endpoint_report report;
    report.endpoint = endpoint;
    const bool is_report = response && response->status == status_ok;
    const auto json = nlohmann::json::parse(is_report ? response->body : "", nullptr, false);
    report.reachable = json.is_object();
    if (!report.reachable)
        return report;
    report.leaving = json.value("leaving", false);
    report.incarnation = json.value("incarnation", "");
    report.jobs = parse_jobs(json);
    return report;
}

} // namespace

cells_duty::cells_duty(const broker_settings& settings, cells_ring& inbox, membership_ring& membership_inbox,
                       std::function<void(bool)> set_config_watch)
    : settings(settings), inbox(inbox), membership_inbox(membership_inbox),
      set_config_watch(std::move(set_config_watch)), context(1), listener(this->context),
      http_client(this->context.get_executor()), started_at(runtime_clock::now())
{
    this->inbox.on_wake([this] { asio::post(this->context, [this] { this->drain_inbox(); }); });
}

cells_duty::~cells_duty() = default;

result<void> cells_duty::open()
{
    const std::string address = this->settings.address + ":" + std::to_string(this->settings.link_port);
    auto opened = http::listen(this->context.get_executor(), address);
    if (!opened)
        return tl::unexpected{opened.error()};
    this->listener = std::move(*opened);
    return {};
}

void cells_duty::run()
{
    const auto work = asio::make_work_guard(this->context);
    asio::co_spawn(this->context, this->accept_loop(), asio::detached);
    asio::co_spawn(this->context, this->tick_loop(), asio::detached);
    asio::co_spawn(this->context, this->probe_loop(), asio::detached);
    this->context.run();
}

void cells_duty::stop()
{
    this->context.stop();
}

void cells_duty::drain()
{
    this->inbox.push(to_cells::drain{});
}

std::string cells_duty::status() const
{
    const std::scoped_lock lock{this->status_mutex};
    return this->status_text;
}

asio::awaitable<void> cells_duty::accept_loop()
{
    while (true) {
        boost::system::error_code failure;
        auto socket = co_await this->listener.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
            this->add_peer(std::move(socket));
    }
}

void cells_duty::add_peer(asio::ip::tcp::socket socket)
{
    const std::uint64_t id = ++this->last_peer_id;
    peer& added = this->peers[id];
    added.link = std::make_shared<wire::frame_link>(std::move(socket));
    added.link->on_message([this, id](const wire::Message& message) { this->on_message(id, message); });
    added.link->on_closed([this, id] { asio::post(this->context, [this, id] { this->remove_peer(id); }); });
    added.link->start();
}

void cells_duty::remove_peer(std::uint64_t id)
{
    const auto found = this->peers.find(id);
    if (found == this->peers.end())
        return;
    const std::string holder = found->second.holder;
    this->peers.erase(found);
    const auto current = this->peer_id_by_holder.find(holder);
    if (holder.empty() || current == this->peer_id_by_holder.end() || current->second != id)
        return;
    this->peer_id_by_holder.erase(current);
    process_events().record("holder_lost", "", holder);
    for (auto& [name, owned] : this->cells)
        owned.on_holder_disconnected(holder, runtime_clock::now());
}

void cells_duty::on_message(std::uint64_t id, const wire::Message& message)
{
    peer& sender = this->peers.at(id);
    const time_point now = runtime_clock::now();
    if (message.__isset.hello) {
        sender.host = message.hello.host;
        if (message.hello.process != "entry")
            return;
        sender.holder = message.hello.host + "/" + std::to_string(message.hello.incarnation);
        this->peer_id_by_holder[sender.holder] = id;
        wire::Message view;
        view.__set_view(wire::to_wire(this->current_view()));
        sender.link->send(view);
        this->push_config(sender);
    } else if (message.__isset.permit_request) {
        this->on_permit_request(sender, message);
    } else if (message.__isset.reassert) {
        this->on_reassert(sender, message);
    } else if (message.__isset.release) {
        if (cell* const owned = this->find_cell(message.release.cell))
            this->execute_decisions(owned->name(),
                                    owned->release(wire::from_wire(message.release, sender.holder), now));
    } else if (message.__isset.prefill_done) {
        const wire::PrefillDone& done = message.prefill_done;
        const auto prefill_time = std::chrono::microseconds{done.prefill_us};
        if (cell* const owned = this->find_cell(done.cell))
            this->execute_decisions(owned->name(),
                                    owned->on_prefill_done({done.request, done.attempt}, prefill_time, now));
    } else if (message.__isset.pace) {
        if (cell* const owned = this->find_cell(message.pace.cell))
            owned->observe_token_time(message.pace.endpoint, std::chrono::microseconds{message.pace.token_us}, now);
    } else if (message.__isset.peer_refused) {
        this->membership_inbox.push(
            to_membership::peer_refused{message.peer_refused.host, message.peer_refused.incarnation});
    } else if (message.__isset.config_fetch) {
        if (message.config_fetch.above < this->config_version)
            this->push_config(sender);
    }
}

void cells_duty::on_permit_request(const peer& sender, const wire::Message& message)
{
    const permit_request request = wire::from_wire(message.permit_request, sender.holder);
    cell* const owned = this->find_cell(message.permit_request.cell);
    if (owned == nullptr) {
        // The membership view of the sender or of this broker is out of date; the sender keeps the request and sends it
        // to the next owner.
        wire::Message refusal;
        refusal.__set_refusal(wire::to_wire(permit_refusal{request.key, sender.holder, error_kind::unavailable, {}}));
        sender.link->send(refusal);
        return;
    }
    count("radishstep_permit_requests_total", {{"cell", owned->name()}});
    this->execute_decisions(owned->name(), owned->handle_request(request, runtime_clock::now()));
}

void cells_duty::on_reassert(const peer& sender, const wire::Message& message)
{
    cell* const owned = this->find_cell(message.reassert.cell);
    if (owned == nullptr)
        return;
    this->reasserted_hosts.insert(sender.host);
    const auto permits = wire::permits_from_wire(message.reassert, sender.holder);
    process_events().record("reasserted", "", sender.holder + " permits=" + std::to_string(permits.size()));
    const auto strikes = wire::strikes_from_wire(message.reassert);
    this->execute_decisions(owned->name(),
                            owned->reconcile_holder(sender.holder, permits, strikes, runtime_clock::now()));
}

void cells_duty::execute_decisions(const std::string& cell_name, const cell_decisions& decisions)
{
    for (const cell_decision& decision : decisions) {
        wire::Message message;
        if (const auto* grant = std::get_if<permit_grant>(&decision)) {
            process_events().record("granted", grant->key.request_id, grant->prefill + " " + grant->decode);
            count("radishstep_permits_granted_total", {{"cell", cell_name}});
            message.__set_grant(wire::to_wire(*grant));
            this->send_to_holder(grant->holder, message);
        } else if (const auto* refusal = std::get_if<permit_refusal>(&decision)) {
            process_events().record("permit_refused", refusal->key.request_id, std::string{to_string(refusal->kind)});
            count("radishstep_permits_refused_total",
                  {{"cell", cell_name}, {"kind", std::string{to_string(refusal->kind)}}});
            message.__set_refusal(wire::to_wire(*refusal));
            this->send_to_holder(refusal->holder, message);
        } else if (const auto* cancel = std::get_if<job_cancellation>(&decision)) {
            process_events().record("job_cancelled", cancel->job.substr(0, cancel->job.rfind('.')), cancel->endpoint);
            count("radishstep_jobs_cancelled_total", {{"cell", cell_name}});
            for (const endpoint_config& endpoint : this->cells.at(cell_name).endpoint_configs()) {
                if (endpoint.name == cancel->endpoint)
                    asio::co_spawn(this->context, this->cancel_job(endpoint.address, cancel->job), asio::detached);
            }
        }
    }
}

void cells_duty::send_to_holder(const std::string& holder, const wire::Message& message)
{
    const auto found = this->peer_id_by_holder.find(holder);
    if (found != this->peer_id_by_holder.end())
        this->peers.at(found->second).link->send(message);
}

asio::awaitable<void> cells_duty::cancel_job(std::string address, std::string job)
{
    http::request request = make_cancel_request(job);
    http::call_options options;
    options.idle_timeout = cancel_timeout;
    co_await this->http_client.call(std::move(address), std::move(request), options);
}

asio::awaitable<void> cells_duty::tick_loop()
{
    time_point next_status_at;
    while (true) {
        const time_point now = runtime_clock::now();
        const bool was_paused = this->last_tick_at != time_point{} && now - this->last_tick_at > pause_threshold;
        this->last_tick_at = now;
        for (auto& [name, owned] : this->cells) {
            // During a pause of this process another host may have owned the cell and granted permits for the same
            // endpoints, so the cell is rebuilt from the endpoints' reports and the holders' permits.
            if (was_paused)
                this->start_rebuild(owned, "frozen");
            this->execute_decisions(name, owned.tick(now));
        }
        this->apply_pending_document();
        if (now >= next_status_at) {
            next_status_at = now + status_period;
            this->refresh_status();
        }
        co_await pause_for(tick_period);
    }
}

asio::awaitable<void> cells_duty::probe_loop()
{
    while (true) {
        for (const auto& [name, owned] : this->cells) {
            for (const endpoint_config& endpoint : owned.endpoint_configs())
                asio::co_spawn(this->context, this->probe(name, endpoint), asio::detached);
        }
        co_await pause_for(this->settings.probe_period);
    }
}

asio::awaitable<void> cells_duty::probe(std::string cell_name, endpoint_config endpoint)
{
    http::call_options options;
    options.connect_timeout = probe_timeout;
    options.idle_timeout = probe_timeout;
    http::request request = http::get_request("/v1/status");
    const auto response = co_await this->http_client.call(endpoint.address, std::move(request), options);
    cell* const owned = this->find_cell(cell_name);
    if (owned == nullptr)
        co_return;
    this->execute_decisions(cell_name,
                            owned->apply_report(parse_report(endpoint.name, response), runtime_clock::now()));
}

void cells_duty::drain_inbox()
{
    while (const auto message = this->inbox.pop())
        std::visit([this](const auto& content) { this->handle(content); }, *message);
}

void cells_duty::handle(const to_cells::members& message)
{
    this->members = message.all;
    for (const member& known : this->members) {
        if (known.state == member_state::suspect)
            asio::co_spawn(this->context, this->check_suspect(known), asio::detached);
    }
    this->update_ownership();
    this->update_config_watch();
    this->push_view();
}

void cells_duty::handle(const to_cells::host_list& message)
{
    this->listed_hosts = message.hosts;
    const auto is_self_leaving =
        std::any_of(this->listed_hosts.begin(), this->listed_hosts.end(),
                    [this](const auto& host) { return host.host == this->settings.host && host.is_leaving; });
    if (is_self_leaving)
        this->membership_inbox.push(to_membership::leave{});
    const membership_view view = this->current_view();
    for (auto& [name, owned] : this->cells)
        owned.set_leaving_addresses(view.leaving);
    this->push_view();
}

void cells_duty::handle(const to_cells::config& message)
{
    this->apply_document(message.document, false);
}

void cells_duty::handle(const to_cells::newer_config& message)
{
    this->max_peer_config_version = std::max(this->max_peer_config_version, message.version);
    if (message.version <= this->config_version || this->is_fetching_config)
        return;
    this->is_fetching_config = true;
    asio::co_spawn(this->context, this->fetch_config(message.link_address), asio::detached);
}

void cells_duty::handle(const to_cells::drain& /*message*/)
{
    if (std::exchange(this->is_draining, true))
        return;
    asio::co_spawn(this->context, this->leave_and_stop(), asio::detached);
}

asio::awaitable<void> cells_duty::check_suspect(member suspect)
{
    asio::ip::tcp::socket socket{this->context};
    const auto endpoint = http::parse_address(suspect.link_address());
    if (!endpoint)
        co_return;
    boost::system::error_code failure;
    co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    const bool is_refused = failure == asio::error::connection_refused;
    if (is_refused)
        this->membership_inbox.push(to_membership::peer_refused{suspect.host, suspect.incarnation});
}

asio::awaitable<void> cells_duty::fetch_config(std::string link_address)
{
    asio::ip::tcp::socket socket{this->context};
    const auto endpoint = http::parse_address(link_address);
    boost::system::error_code failure = asio::error::invalid_argument;
    if (endpoint)
        co_await socket.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
        this->is_fetching_config = false;
        co_return;
    }
    const std::int64_t version_before = this->config_version;
    auto link = std::make_shared<wire::frame_link>(std::move(socket));
    link->on_message([this](const wire::Message& message) {
        if (message.__isset.config_push)
            this->apply_document(message.config_push.document, true);
    });
    link->start();
    wire::Message request;
    wire::ConfigFetch fetch;
    fetch.above = version_before;
    request.__set_config_fetch(fetch);
    link->send(request);
    const time_point give_up_at = runtime_clock::now() + config_fetch_timeout;
    while (link->is_open() && this->config_version == version_before && runtime_clock::now() < give_up_at)
        co_await pause_for(tick_period);
    link->close();
    this->is_fetching_config = false;
}

void cells_duty::apply_document(const std::string& text, bool is_from_peer)
{
    const auto parsed = parse_config_document(text);
    if (!parsed) {
        log_problem("config_unusable", {{"cause", describe(parsed.error())}});
        return;
    }
    if (parsed->version <= this->config_version)
        return;
    const bool is_stale = parsed->version < this->max_peer_config_version;
    const bool is_peer_version_wait_over = runtime_clock::now() >= this->started_at + peer_version_wait;
    if (is_stale || (this->config_version == 0 && !is_from_peer && !is_peer_version_wait_over)) {
        // The document may be older than the one in force on other hosts, because the key-value service may answer from
        // a lagging replica. Keep it and try again on a later tick.
        this->pending_document = text;
        return;
    }
    this->config_version = parsed->version;
    this->config_document = text;
    this->membership_inbox.push(to_membership::config_version{parsed->version});
    const auto site_settings = build_site_config(*parsed, this->settings.site);
    if (site_settings) {
        this->site = *site_settings;
        process_events().record("config_in_force", "", "version=" + std::to_string(parsed->version));
        log_state("config_in_force", {{"version", std::to_string(parsed->version)}});
        set_gauge("radishstep_config_version", static_cast<double>(parsed->version));
    } else {
        log_problem("config_unusable", {{"cause", describe(site_settings.error())}});
    }
    for (const auto& [id, receiver] : this->peers) {
        if (!receiver.holder.empty())
            this->push_config(receiver);
    }
    this->update_ownership();
}

void cells_duty::apply_pending_document()
{
    if (this->pending_document.empty() || runtime_clock::now() < this->started_at + peer_version_wait)
        return;
    this->apply_document(std::exchange(this->pending_document, {}), false);
}

void cells_duty::push_config(const peer& receiver) const
{
    if (this->config_version == 0)
        return;
    wire::ConfigPush push;
    push.version = this->config_version;
    push.document = this->config_document;
    wire::Message message;
    message.__set_config_push(push);
    receiver.link->send(message);
}

void cells_duty::push_view()
{
    wire::Message message;
    message.__set_view(wire::to_wire(this->current_view()));
    for (const auto& [id, receiver] : this->peers) {
        if (!receiver.holder.empty())
            receiver.link->send(message);
    }
}

void cells_duty::update_ownership()
{
    std::set<std::string> owned;
    for (const pool_config& pool : this->site.pools) {
        if (find_cell_owner(pool.name, this->members, this->settings.region) != this->settings.host)
            continue;
        owned.insert(pool.name);
        const auto [found, is_new] = this->cells.try_emplace(pool.name, pool.name);
        found->second.configure(pool, this->site.clients);
        found->second.set_leaving_addresses(this->current_view().leaving);
        if (!is_new)
            continue;
        found->second.set_host_reconciled_check(
            [this](const std::string& host) { return this->is_host_reconciled(host); });
        this->start_rebuild(found->second, "new_owner");
        log_state("cell_owned", {{"cell", pool.name}});
        for (const endpoint_config& endpoint : found->second.endpoint_configs())
            asio::co_spawn(this->context, this->probe(pool.name, endpoint), asio::detached);
    }
    std::erase_if(this->cells, [&](const auto& item) {
        const bool is_lost = !owned.contains(item.first);
        if (is_lost)
            log_state("cell_handed_over", {{"cell", item.first}});
        return is_lost;
    });
}

void cells_duty::start_rebuild(cell& owned, const std::string& reason)
{
    process_events().record("rebuild", "", owned.name() + " " + reason);
    this->reasserted_hosts.clear();
    owned.begin_rebuild(runtime_clock::now());
}

void cells_duty::update_config_watch()
{
    std::vector<std::string> candidates = owner_candidates(this->members, this->settings.region);
    bool is_watcher = false;
    for (std::size_t i = 0; i < max_watchers_per_region && !candidates.empty(); ++i) {
        const std::string winner = rendezvous_winner(config_head_key, candidates);
        is_watcher = is_watcher || winner == this->settings.host;
        std::erase(candidates, winner);
    }
    this->set_config_watch(is_watcher);
}

asio::awaitable<void> cells_duty::leave_and_stop()
{
    log_state("draining", {{"cells", std::to_string(this->cells.size())}});
    this->membership_inbox.push(to_membership::leave{});
    const time_point give_up_at = runtime_clock::now() + handover_wait;
    co_await pause_for(handover_wait);
    while (!this->cells.empty() && this->members.size() > 1 && runtime_clock::now() < give_up_at)
        co_await pause_for(tick_period);
    log_state("drained", {{"cells", std::to_string(this->cells.size())}});
    this->context.stop();
}

membership_view cells_duty::current_view() const
{
    // Owners are chosen within a region, so the members of other regions are left out.
    membership_view view;
    for (const member& known : this->members) {
        if (known.region == this->settings.region)
            view.members.push_back(known);
    }
    for (const listed_host& host : this->listed_hosts) {
        if (host.is_leaving)
            view.leaving.push_back(host.address);
    }
    return view;
}

bool cells_duty::is_host_reconciled(const std::string& host) const
{
    if (this->reasserted_hosts.contains(host))
        return true;
    return std::none_of(this->members.begin(), this->members.end(),
                        [&](const member& known) { return known.host == host; });
}

cell* cells_duty::find_cell(const std::string& name)
{
    const auto found = this->cells.find(name);
    return found == this->cells.end() ? nullptr : &found->second;
}

void cells_duty::refresh_status()
{
    const time_point now = runtime_clock::now();
    nlohmann::json cells_json = nlohmann::json::array();
    for (const auto& [name, owned] : this->cells) {
        nlohmann::json endpoints = nlohmann::json::array();
        for (const endpoint_summary& summary : owned.endpoints(now)) {
            endpoints.push_back({{"name", summary.name},
                                 {"role", to_string(summary.role)},
                                 {"usable", summary.usable},
                                 {"slots", summary.slots},
                                 {"used", summary.used},
                                 {"token_us", to_ms(summary.token_time) * 1'000}});
        }
        cells_json.push_back({{"cell", name},
                              {"waiting", owned.queued_count()},
                              {"open_permits", owned.open_permits()},
                              {"endpoints", endpoints}});
        set_gauge("radishstep_cell_waiting", static_cast<double>(owned.queued_count()), {{"cell", name}});
        set_gauge("radishstep_cell_open_permits", static_cast<double>(owned.open_permits()), {{"cell", name}});
    }
    nlohmann::json members_json = nlohmann::json::array();
    for (const member& known : this->members) {
        members_json.push_back({{"host", known.host},
                                {"zone", known.zone},
                                {"region", known.region},
                                {"state", to_string(known.state)},
                                {"admin", known.admin_urls}});
    }
    const nlohmann::json status{{"process", "broker"},         {"host", this->settings.host},
                                {"zone", this->settings.zone}, {"config_version", this->config_version},
                                {"members", members_json},     {"cells", cells_json}};
    const std::scoped_lock lock{this->status_mutex};
    this->status_text = status.dump();
}

} // namespace radishstep
