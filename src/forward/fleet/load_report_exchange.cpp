#include "forward/fleet/load_report_exchange.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "forward/suspects/crash_trials.h"
#include "http/server.h"
#include "wire/codec.h"
#include "wire/generated/radishstep_types.h"

namespace radishstep::forward {

namespace asio = boost::asio;

namespace {

/// A longer datagram is truncated and then counted as unusable.
constexpr std::size_t receive_buffer_bytes = 60UL * 1024;

/// A record is forgotten before a run of this length matters.
constexpr std::chrono::microseconds max_reported_run{crash_suspects::record_lifetime};

/// Bytes of crash records in a report. Records of prompts that are longer than this are not reported.
constexpr std::size_t max_crash_bytes = 40UL * 1024;
/// The same in complete reports, which repeat what is known: of long records, one a report, in turn.
constexpr std::size_t max_repeated_crash_bytes = 2UL * 1024;

constexpr std::size_t bits_per_byte = 8;
/// Parts of which CrashedRequest.cleared has a bit.
constexpr std::size_t first_bits_count = 32;

/// More than any host spends before it is replaced; sums stay in range.
constexpr std::int64_t max_spent_units = std::int64_t{1} << 52;

/// Reported paces are in thousandths.
constexpr double pace_units = 1'000;

/// Returns the address of a host that can be sent reports: the socket is an IPv4 one.
result<asio::ip::udp::endpoint> parse_peer_address(const std::string& address)
{
    const auto parsed = http::parse_address(address);
    if (!parsed)
        return tl::unexpected{parsed.error()};
    if (!parsed->address().is_v4() || parsed->address().is_unspecified() || parsed->port() == 0)
        return fail(error_kind::bad_setting, "no reports can be sent to address '" + address + "'",
                    "write it as IPv4:port");
    return asio::ip::udp::endpoint{parsed->address(), parsed->port()};
}

wire::EndpointLoad to_wire(const std::string& incarnation, const endpoint_load& work)
{
    wire::EndpointLoad row;
    row.endpoint = incarnation;
    row.calls = work.calls;
    row.tokens = work.tokens;
    row.unread = work.pending_prefill_tokens;
    return row;
}

/// Clamps values that a later version may send to the nearest known one.
lateness to_lateness(std::int32_t value)
{
    return static_cast<lateness>(
        std::clamp(value, static_cast<std::int32_t>(lateness::on_time), static_cast<std::int32_t>(lateness::late)));
}

void set_cleared(const crash_record& record, wire::CrashedRequest& row)
{
    std::uint32_t first_bits = 0;
    std::string all_bits((record.parts.size() + bits_per_byte - 1) / bits_per_byte, '\0');
    for (std::size_t i = 0; !record.cleared.empty() && i < record.parts.size(); ++i) {
        if (!record.cleared.contains(record.parts[i]))
            continue;
        if (i < first_bits_count)
            first_bits |= 1U << i;
        all_bits[i / bits_per_byte] =
            static_cast<char>(static_cast<unsigned char>(all_bits[i / bits_per_byte]) | 1U << i % bits_per_byte);
    }
    if (first_bits != 0)
        row.__set_cleared(static_cast<std::int32_t>(first_bits));
    if (record.parts.size() > first_bits_count && !record.cleared.empty())
        row.__set_all_cleared(all_bits);
}

std::set<std::string> cleared_parts(const wire::CrashedRequest& row)
{
    const auto is_cleared = [&row](std::size_t i) {
        if (i < first_bits_count && (static_cast<std::uint32_t>(row.cleared) >> i & 1U) != 0)
            return true;
        return i / bits_per_byte < row.all_cleared.size() &&
               (static_cast<unsigned char>(row.all_cleared[i / bits_per_byte]) >> i % bits_per_byte & 1U) != 0;
    };
    std::set<std::string> cleared;
    for (std::size_t i = 0; i < row.parts.size(); ++i) {
        if (is_cleared(i))
            cleared.insert(row.parts[i]);
    }
    return cleared;
}

/// Returns about how many bytes a record takes in a report.
std::size_t reported_bytes(const crash_record& record)
{
    constexpr std::size_t fixed_bytes = 64;
    constexpr std::size_t bytes_per_part = 2;
    std::size_t bytes = fixed_bytes + record.parts.size() / bits_per_byte;
    for (const std::string& part : record.parts)
        bytes += part.size() + bytes_per_part;
    return bytes;
}

wire::CrashedRequest to_wire(const crash_record& record, time_point now)
{
    wire::CrashedRequest row;
    row.endpoint = record.incarnation;
    row.parts = record.parts;
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - record.crashed_at);
    const auto whole_age = std::chrono::duration_cast<milliseconds>(age);
    row.age_ms = static_cast<std::int32_t>(whole_age.count());
    row.__set_age_us(static_cast<std::int32_t>((age - whole_age).count()));
    set_cleared(record, row);
    if (record.is_refuted)
        row.__set_refuted(true);
    if (record.ran_for)
        row.__set_ran_us(record.ran_for->count());
    if (record.has_ended)
        row.__set_ended(true);
    if (record.answered_for)
        row.__set_answered_us(record.answered_for->count());
    return row;
}

std::chrono::microseconds to_run_time(std::int64_t reported_us)
{
    return std::chrono::microseconds{std::clamp<std::int64_t>(reported_us, 0, max_reported_run.count())};
}

/// Appends the records of a report's list, at most as many as a host of this version sends.
void append_records(const std::vector<wire::CrashedRequest>& rows, const std::string& host, time_point now,
                    std::vector<crash_record>& records)
{
    for (const wire::CrashedRequest& row : rows | std::views::take(crash_suspects::max_reported_records)) {
        const auto age = milliseconds{std::max(row.age_ms, 0)} + std::chrono::microseconds{std::max(row.age_us, 0)};
        records.push_back({row.endpoint, row.parts, now - age, host, cleared_parts(row), row.refuted});
        records.back().has_ended = row.ended;
        if (row.__isset.ran_us)
            records.back().ran_for = to_run_time(row.ran_us);
        if (row.__isset.answered_us)
            records.back().answered_for = to_run_time(row.answered_us);
    }
}

/// Appends the records that fit, and takes what they need from `bytes_left`.
void append_fitting(const std::vector<crash_record>& records, time_point now, std::size_t& bytes_left,
                    std::vector<wire::CrashedRequest>& rows)
{
    for (const crash_record& record : records) {
        const std::size_t bytes = reported_bytes(record);
        if (bytes > bytes_left)
            continue;
        bytes_left -= bytes;
        rows.push_back(to_wire(record, now));
    }
}

wire::WaitingHead to_wire(const queue_head& head)
{
    wire::WaitingHead row;
    row.service_name = head.service;
    row.lateness = static_cast<std::int32_t>(head.rank.late);
    row.age_ms = static_cast<std::int32_t>(to_ms(runtime_clock::now() - head.rank.since));
    row.priority = head.rank.priority;
    return row;
}

} // namespace

load_report_exchange::load_report_exchange(const asio::any_io_executor& executor, std::string host, fleet_load& load,
                                           endpoint_health& health, load_report_hooks hooks)
    : socket(executor), host(std::move(host)), load(load), health(health), hooks(std::move(hooks)),
      last_sequence(wall_clock_ms())
{
}

result<void> load_report_exchange::open(const std::string& address)
{
    const auto parsed = http::parse_address(address);
    if (!parsed)
        return tl::unexpected{parsed.error()};
    boost::system::error_code failure;
    this->socket.open(asio::ip::udp::v4(), failure);
    if (!failure)
        this->socket.bind({parsed->address(), parsed->port()}, failure);
    if (!failure)
        this->socket.non_blocking(true, failure);
    if (failure)
        return fail(error_kind::bad_setting, "cannot use UDP at " + address + ": " + failure.message(),
                    "choose an address of this host and a free port");
    return {};
}

void load_report_exchange::set_peers(const std::map<std::string, std::string>& addresses)
{
    const time_point now = runtime_clock::now();
    std::erase_if(this->last_report_at,
                  [now](const auto& entry) { return entry.second + unregistered_peer_lifetime < now; });
    std::erase_if(this->peers, [this](const auto& entry) { return !this->last_report_at.contains(entry.first); });
    std::set<std::string> unusable_hosts;
    const std::size_t known_peers = this->peers.size();
    for (const auto& [name, address] : addresses) {
        if (name == this->host)
            continue;
        const auto parsed = parse_peer_address(address);
        if (parsed) {
            this->peers.insert_or_assign(name, *parsed);
            continue;
        }
        unusable_hosts.insert(name);
        if (!this->unusable_hosts.contains(name))
            log_problem("peer_unusable", {{"host", name}, {"cause", describe(parsed.error())}});
    }
    this->unusable_hosts = std::move(unusable_hosts);
    if (this->peers.size() > known_peers)
        this->mark_changed(true);
}

void load_report_exchange::record_peer(const std::string& name, const asio::ip::udp::endpoint& sender)
{
    this->last_report_at[name] = runtime_clock::now();
    const auto known = this->peers.find(name);
    if (known != this->peers.end() && known->second == sender)
        return;
    // So that the new peer answers soon with what this host may not know.
    if (known == this->peers.end())
        this->mark_changed(true);
    this->peers.insert_or_assign(name, sender);
    log_state("peer_learned", {{"host", name}, {"address", sender.address().to_string()}});
}

void load_report_exchange::mark_changed(bool is_urgent)
{
    this->has_changes = true;
    this->has_urgent_changes = this->has_urgent_changes || is_urgent;
}

std::size_t load_report_exchange::heard_host_count(time_point now) const
{
    const auto heard = std::ranges::count_if(
        this->last_report_at, [now](const auto& entry) { return now < entry.second + recent_report_time; });
    return static_cast<std::size_t>(heard) + 1;
}

milliseconds load_report_exchange::report_interval() const
{
    return std::max(min_report_interval, report_interval_per_peer * static_cast<milliseconds::rep>(this->peers.size()));
}

std::chrono::microseconds load_report_exchange::urgent_report_interval() const
{
    return std::max<std::chrono::microseconds>(min_report_interval,
                                               urgent_interval_per_peer *
                                                   static_cast<std::chrono::microseconds::rep>(this->peers.size()));
}

milliseconds load_report_exchange::exchange_time() const
{
    return std::chrono::ceil<milliseconds>(this->urgent_report_interval()) + min_report_interval + max_transfer_time;
}

asio::awaitable<void> load_report_exchange::send_reports()
{
    while (true) {
        co_await pause_for(min_report_interval);
        const time_point now = runtime_clock::now();
        const milliseconds interval = this->report_interval();
        const bool is_due =
            (this->has_urgent_changes && this->last_sent_at + this->urgent_report_interval() <= now) ||
            (this->has_changes && this->last_sent_at + interval <= now) ||
            this->last_sent_at + std::max(idle_report_interval, interval * report_intervals_per_idle_report) <= now;
        if (!is_due)
            continue;
        this->has_urgent_changes = false;
        this->has_changes = false;
        this->send_report_round(now);
    }
}

void load_report_exchange::send_report_round(time_point now)
{
    const bool is_full_due = this->last_full_sent_at + full_report_interval <= now;
    std::set<std::string> full_receivers;
    if (this->hooks.take_pace_samples)
        this->reported_paces = this->hooks.take_pace_samples();
    // The changes first: a full report counts everything as reported.
    const std::string changes = this->encode_report(now, true);
    std::string full;
    if (is_full_due) {
        full = this->encode_report(now, false);
        std::vector<std::string> names;
        names.reserve(this->peers.size());
        for (const auto& [name, address] : this->peers)
            names.push_back(name);
        full_receivers = this->full_rotation.choose(names, full.size(), now);
        if (full_receivers.size() < names.size())
            count("radishstep_forward_full_reports_deferred_total", {},
                  static_cast<double>(names.size() - full_receivers.size()));
    }
    this->last_sent_at = now;
    for (const auto& [name, address] : this->peers)
        this->send_datagram(full_receivers.contains(name) ? full : changes, address);
}

void load_report_exchange::send_datagram(const std::string& bytes, const asio::ip::udp::endpoint& address)
{
    count("radishstep_forward_report_bytes_total", {}, static_cast<double>(bytes.size()));
    // An unsent datagram counts as lost; a later report repairs it.
    boost::system::error_code failure;
    this->socket.send_to(asio::buffer(bytes), address, 0, failure);
    if (failure)
        count("radishstep_forward_reports_unsent_total");
}

asio::awaitable<void> load_report_exchange::receive_reports()
{
    std::string bytes(receive_buffer_bytes, '\0');
    asio::ip::udp::endpoint sender;
    while (true) {
        boost::system::error_code failure;
        const std::size_t size = co_await this->socket.async_receive_from(
            asio::buffer(bytes), sender, asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (!failure)
            this->apply_report({bytes.data(), size}, sender);
    }
}

std::string load_report_exchange::encode_report(time_point now, bool is_partial)
{
    wire::LoadReport report;
    report.host = this->host;
    report.sequence = ++this->last_sequence;
    report.is_partial = is_partial;
    if (!report.is_partial)
        this->last_full_sent_at = now;
    for (const queue_head& head : this->hooks.list_queue_heads())
        report.heads.push_back(to_wire(head));
    this->add_loads(report);
    this->add_revisions(report);
    for (const down_endpoint& down :
         this->health.observed_down(now, report.is_partial ? this->last_sent_at : time_point{})) {
        wire::DownEndpoint row;
        row.endpoint = down.incarnation;
        row.age_ms = static_cast<std::int32_t>(to_ms(now - down.observed_at));
        if (down.has_refused)
            row.__set_refused(true);
        report.down.push_back(std::move(row));
    }
    this->add_crash_records(report, now);
    this->add_trials(report);
    this->add_account_spending(report, now);
    this->add_pace_samples(report);
    return wire::encode(report);
}

void load_report_exchange::add_loads(wire::LoadReport& report)
{
    const load_table& own = this->load.local_loads();
    const load_table rows = report.is_partial ? changed_loads(this->reported_loads, own) : own;
    for (const auto& [incarnation, work] : rows) {
        report.loads.push_back(to_wire(incarnation, work));
        if (work == endpoint_load{})
            this->reported_loads.erase(incarnation);
        else
            this->reported_loads.insert_or_assign(incarnation, work);
    }
    if (!report.is_partial)
        this->reported_loads = own;
}

void load_report_exchange::add_revisions(wire::LoadReport& report)
{
    revisions_by_prefix revisions = this->hooks.latest_revisions();
    for (const auto& [prefix, revision] : revisions) {
        if (report.is_partial && this->reported_revisions[prefix] == revision)
            continue;
        wire::SeenChange row;
        row.prefix = prefix;
        row.revision = revision;
        report.seen.push_back(std::move(row));
    }
    this->reported_revisions = std::move(revisions);
}

void load_report_exchange::add_crash_records(wire::LoadReport& report, time_point now)
{
    if (!this->hooks.list_crash_records)
        return;
    const time_point since = report.is_partial ? this->last_sent_at : time_point{};
    std::vector<crash_record> own = this->hooks.list_crash_records(since);
    if (!report.is_partial)
        own = this->choose_repeated(std::move(own));
    std::size_t bytes_left = max_crash_bytes;
    append_fitting(own, now, bytes_left, report.crashed);
    if (!report.is_partial && this->hooks.take_records_to_relay) {
        bytes_left = std::min(bytes_left, max_repeated_crash_bytes);
        append_fitting(this->hooks.take_records_to_relay(), now, bytes_left, report.relayed);
    }
    for (part_start& start : this->hooks.list_part_starts(since)) {
        wire::StartedPart row;
        row.part = std::move(start.part);
        row.age_ms = static_cast<std::int32_t>(to_ms(now - start.started_at));
        report.started.push_back(std::move(row));
    }
    report.__isset.crashed = !report.crashed.empty();
    report.__isset.started = !report.started.empty();
    report.__isset.relayed = !report.relayed.empty();
}

/// Returns the records that a complete report repeats: all, or those that fit, in turn.
std::vector<crash_record> load_report_exchange::choose_repeated(std::vector<crash_record> records)
{
    std::size_t total = 0;
    for (const crash_record& record : records)
        total += reported_bytes(record);
    if (total <= max_repeated_crash_bytes)
        return records;
    std::ranges::rotate(records, records.begin() + static_cast<std::ptrdiff_t>(this->repeat_turn++ % records.size()));
    std::size_t bytes = 0;
    const auto is_over = [&bytes](const crash_record& record) {
        bytes += reported_bytes(record);
        return bytes > max_repeated_crash_bytes;
    };
    const auto first_over = std::find_if(records.begin() + 1, records.end(), is_over);
    records.erase(first_over, records.end());
    return records;
}

void load_report_exchange::add_trials(wire::LoadReport& report) const
{
    if (!this->hooks.list_trials)
        return;
    report.trials = this->hooks.list_trials(report.is_partial ? this->last_sent_at : time_point{});
    report.__isset.trials = !report.trials.empty();
}

void load_report_exchange::add_account_spending(wire::LoadReport& report, time_point now) const
{
    if (!this->hooks.list_account_spending)
        return;
    for (const accounts::account_spending& spent :
         this->hooks.list_account_spending(report.is_partial ? this->last_sent_at : time_point{})) {
        wire::AccountSpending row;
        row.account = spent.account;
        row.units = spent.units;
        row.age_ms = static_cast<std::int32_t>(to_ms(now - spent.since));
        report.spending.push_back(row);
    }
    report.__isset.spending = !report.spending.empty();
}

void load_report_exchange::add_pace_samples(wire::LoadReport& report) const
{
    for (const pace_sample& sample : this->reported_paces) {
        wire::ObservedPace row;
        row.endpoint = sample.incarnation;
        row.kind = static_cast<std::int32_t>(sample.kind);
        row.pace = static_cast<std::int32_t>(std::clamp(sample.pace, engine_model::min_pace, engine_model::max_pace) *
                                             pace_units);
        report.paces.push_back(std::move(row));
    }
    report.__isset.paces = !report.paces.empty();
}

void load_report_exchange::apply_pace_samples(const wire::LoadReport& report) const
{
    if (!this->hooks.on_peer_pace_sample)
        return;
    for (const wire::ObservedPace& row : report.paces | std::views::take(engine_model::max_reported_samples)) {
        if (row.kind < static_cast<std::int32_t>(work_kind::prefill) ||
            row.kind > static_cast<std::int32_t>(work_kind::plain))
            continue;
        this->hooks.on_peer_pace_sample({row.endpoint, static_cast<work_kind>(row.kind), row.pace / pace_units});
    }
}

void load_report_exchange::apply_account_spending(const wire::LoadReport& report, time_point now)
{
    if (!this->hooks.on_peer_account_spending)
        return;
    std::vector<accounts::account_spending> rows;
    rows.reserve(report.spending.size());
    for (const wire::AccountSpending& row : report.spending)
        rows.push_back({row.account, std::clamp<std::int64_t>(row.units, -max_spent_units, max_spent_units),
                        now - milliseconds{std::max(row.age_ms, 0)}});
    this->hooks.on_peer_account_spending(report.host, rows);
}

void load_report_exchange::apply_crash_records(const wire::LoadReport& report, time_point now)
{
    if (!this->hooks.on_peer_crash_records ||
        (report.crashed.empty() && report.started.empty() && report.relayed.empty()))
        return;
    std::vector<crash_record> records;
    records.reserve(report.crashed.size() + report.relayed.size());
    append_records(report.crashed, report.host, now, records);
    append_records(report.relayed, report.host, now, records);
    std::vector<part_start> starts;
    for (const wire::StartedPart& row : report.started) {
        if (starts.size() < crash_suspects::max_reported_starts)
            starts.push_back({row.part, now - milliseconds{std::max(row.age_ms, 0)}});
    }
    this->hooks.on_peer_crash_records(records, starts);
}

/// Sends a host that has started, and knows nothing, the crash records that it needs before its first requests.
void load_report_exchange::answer_newcomer(const std::string& name, const asio::ip::udp::endpoint& address)
{
    if (!this->hooks.list_records_for_newcomer)
        return;
    const std::size_t hosts_per_answer = (this->host_count() + hosts_per_newcomer - 1) / hosts_per_newcomer;
    if (std::hash<std::string>{}(this->host + ' ' + name) % hosts_per_answer != 0)
        return;
    const time_point now = runtime_clock::now();
    wire::LoadReport report;
    std::size_t bytes_left = max_crash_bytes;
    append_fitting(this->hooks.list_records_for_newcomer(), now, bytes_left, report.relayed);
    if (report.relayed.empty())
        return;
    report.__isset.relayed = true;
    report.host = this->host;
    report.sequence = ++this->last_sequence;
    report.is_partial = true;
    for (const queue_head& head : this->hooks.list_queue_heads())
        report.heads.push_back(to_wire(head));
    this->send_datagram(wire::encode(report), address);
}

void load_report_exchange::apply_report(std::string_view bytes, const asio::ip::udp::endpoint& sender)
{
    const auto report = wire::decode_load_report(bytes);
    if (!report || report->host == this->host) {
        count("radishstep_forward_reports_unusable_total");
        return;
    }
    std::int64_t& newest_sequence = this->newest_sequences[report->host];
    // Drops datagrams that arrive after a newer one. A sequence number that is lower by max_reordered_reports or more
    // comes from a host that restarted after its clock was set back.
    constexpr std::int64_t max_reordered_reports = 1'000;
    if (report->sequence <= newest_sequence && report->sequence + max_reordered_reports > newest_sequence)
        return;
    // A host's numbers start at its clock's milliseconds and grow more slowly than those, so a restart shows as a jump.
    const bool is_newcomer = report->sequence >= newest_sequence + max_reordered_reports ||
                             report->sequence + max_reordered_reports <= newest_sequence;
    newest_sequence = report->sequence;
    this->record_peer(report->host, sender);
    if (is_newcomer)
        this->answer_newcomer(report->host, sender);
    load_table loads;
    for (const wire::EndpointLoad& row : report->loads)
        loads.insert_or_assign(row.endpoint, endpoint_load{row.calls, row.tokens, row.unread});
    const time_point now = runtime_clock::now();
    std::vector<queue_head> heads;
    for (const wire::WaitingHead& head : report->heads)
        heads.push_back(
            {head.service_name, {head.priority, to_lateness(head.lateness), now - milliseconds{head.age_ms}}});
    for (const wire::DownEndpoint& row : report->down) {
        const milliseconds age{std::max(row.age_ms, 0)};
        const down_endpoint down{row.endpoint, now - age, row.refused};
        if (this->health.apply_peer_down_report(down, now))
            log_state("endpoint_down",
                      {{"endpoint", row.endpoint}, {"seen_by", report->host}, {"age_ms", std::to_string(age.count())}});
        if (this->hooks.on_peer_endpoint_down)
            this->hooks.on_peer_endpoint_down(down);
    }
    this->apply_crash_records(*report, now);
    this->apply_account_spending(*report, now);
    this->apply_pace_samples(*report);
    if (this->hooks.on_peer_trials && report->trials.size() <= crash_trials::max_reported_claims)
        this->hooks.on_peer_trials(report->host, report->trials);
    revisions_by_prefix revisions;
    for (const wire::SeenChange& row : report->seen)
        revisions[row.prefix] = row.revision;
    if (!revisions.empty())
        this->hooks.on_peer_revisions(revisions);
    if (report->is_partial)
        this->load.apply_peer_load_changes(report->host, loads, std::move(heads), now);
    else
        this->load.apply_peer_loads(report->host, std::move(loads), std::move(heads), now);
}

} // namespace radishstep::forward
