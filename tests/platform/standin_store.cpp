#include "standin_store.h"

#include <boost/asio/use_awaitable.hpp>

#include "base/pause.h"
#include "base/text.h"

namespace radishstep::testing {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

http::response make_json_response(unsigned status, const json& body)
{
    return http::json_response(status, body.dump());
}

std::string percent_decoded(std::string_view text)
{
    constexpr int hex = 16;
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(std::string{text.substr(i + 1, 2)}, nullptr, hex));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::string endless_start(bool has_head)
{
    const http::headers lines{{"Content-Type", "application/json"}};
    return has_head ? unframed_answer(200, lines, "") : "HTTP/1.1 200 OK\r\n";
}

std::string endless_part(bool has_head)
{
    constexpr std::size_t part_bytes = 16UL * 1024;
    if (has_head)
        return std::string(part_bytes, '[');
    std::string lines;
    while (lines.size() < part_bytes)
        lines += "X-F: y\r\n";
    return lines;
}

} // namespace

standin_store::standin_store(const asio::any_io_executor& executor)
    : server(executor, "127.0.0.1:0", [this](const http::request& request, raw_connection& caller) {
          return this->handle_request(request, caller);
      })
{
}

void standin_store::put(const std::string& key, const std::string& value)
{
    const std::scoped_lock lock{this->mutex};
    this->write(key, value, 0);
}

std::string standin_store::value(const std::string& key) const
{
    const std::scoped_lock lock{this->mutex};
    const auto found = this->items.find(key);
    return found == this->items.end() ? "" : found->second.value;
}

void standin_store::remove(const std::string& key)
{
    const std::scoped_lock lock{this->mutex};
    this->write(key, std::nullopt, 0);
}

void standin_store::end_leases()
{
    const std::scoped_lock lock{this->mutex};
    std::vector<std::string> leased;
    for (const auto& [key, entry] : this->items) {
        if (entry.lease != 0)
            leased.push_back(key);
    }
    this->leases.clear();
    for (const std::string& key : leased)
        this->write(key, std::nullopt, 0);
}

void standin_store::compact()
{
    const std::scoped_lock lock{this->mutex};
    this->compacted_revision = this->revision;
    this->history.clear();
}

void standin_store::set_fault(store_fault new_fault)
{
    const std::scoped_lock lock{this->mutex};
    this->fault = new_fault;
}

void standin_store::set_answer_form(std::function<std::string(const std::string& body)> form)
{
    const std::scoped_lock lock{this->mutex};
    this->answer_form = std::move(form);
}

void standin_store::abandon_watch(const std::string& prefix)
{
    const std::scoped_lock lock{this->mutex};
    for (auto& [number, waiting_prefix] : this->waiting) {
        if (waiting_prefix == prefix) {
            waiting_prefix.clear();
            return;
        }
    }
    throw std::logic_error{"no watch of '" + prefix + "' waits"};
}

std::vector<std::string> standin_store::keys(const std::string& prefix) const
{
    const std::scoped_lock lock{this->mutex};
    std::vector<std::string> found;
    for (const auto& [key, entry] : this->items) {
        if (key.starts_with(prefix))
            found.push_back(key);
    }
    return found;
}

int standin_store::calls() const
{
    const std::scoped_lock lock{this->mutex};
    return this->call_count;
}

void standin_store::write(const std::string& key, std::optional<std::string> value, std::int64_t lease)
{
    ++this->revision;
    if (!value) {
        this->items.erase(key);
        this->history.push_back({key, std::nullopt, this->revision});
        return;
    }
    item& entry = this->items[key];
    entry.created = entry.created == 0 ? this->revision : entry.created;
    entry.value = *value;
    entry.revision = this->revision;
    entry.lease = lease;
    this->history.push_back({key, entry, this->revision});
}

asio::awaitable<bool> standin_store::send_without_end(raw_connection& caller, bool has_head)
{
    std::string start = endless_start(has_head);
    const std::string part = endless_part(has_head);
    bool is_open = co_await caller.write(std::move(start));
    while (is_open) {
        std::string next = part;
        is_open = co_await caller.write(std::move(next));
        co_await pause_for(milliseconds{1});
    }
    co_return false;
}

asio::awaitable<bool> standin_store::handle_request(const http::request& request, raw_connection& caller)
{
    store_fault active_fault = store_fault::none;
    {
        const std::scoped_lock lock{this->mutex};
        ++this->call_count;
        active_fault = this->fault;
    }
    if (active_fault == store_fault::reset) {
        caller.reset();
        co_return false;
    }
    if (active_fault == store_fault::endless_heads || active_fault == store_fault::endless_bodies)
        co_return co_await send_without_end(caller, active_fault == store_fault::endless_bodies);
    while (active_fault == store_fault::unresponsive) {
        co_await pause_for(milliseconds{20});
        if (caller.is_closed_by_peer())
            co_return false;
    }
    constexpr unsigned status_busy = 503;
    http::response response = http::text_response(status_busy, "");
    const std::string_view path = request.path();
    if (active_fault != store_fault::busy) {
        if (path == "/kv-watch")
            response = co_await this->watch(request);
        else if (path == "/kv-range")
            response = this->range(request);
        else if (path == "/kv-txn")
            response = this->transact(request);
        else
            response = this->handle_lease_call(request);
    }
    if (active_fault == store_fault::lost_writes && path == "/kv-txn")
        co_await pause_for(std::chrono::seconds{5});
    std::function<std::string(const std::string& body)> form;
    {
        const std::scoped_lock lock{this->mutex};
        if (this->fault == store_fault::reset) {
            caller.reset();
            co_return false;
        }
        form = this->answer_form;
    }
    if (form) {
        std::string bytes = form(response.body);
        co_await caller.write(std::move(bytes));
        caller.close();
        co_return false;
    }
    co_return co_await caller.write(http_answer(response.status, response.lines, response.body));
}

asio::awaitable<http::response> standin_store::watch(const http::request& request)
{
    const std::string prefix = percent_decoded(request.query("prefix"));
    const std::int64_t after = to_integer(request.query("after")).value_or(0);
    const milliseconds wait{to_integer(request.query("wait_ms")).value_or(0)};
    const time_point deadline = runtime_clock::now() + wait;
    std::optional<http::response> found;
    const int number = this->register_watch(prefix);
    while (!found) {
        if (this->is_abandoned(number)) {
            co_await pause_for(milliseconds{20});
            continue;
        }
        found = this->changes_after(prefix, after);
        if (!found && runtime_clock::now() >= deadline) {
            constexpr unsigned status_ok = 200;
            found = make_json_response(status_ok, {{"events", json::array()}, {"current_rev", after}});
        }
        if (!found)
            co_await pause_for(milliseconds{3});
    }
    const std::scoped_lock lock{this->mutex};
    this->waiting.erase(number);
    co_return *found;
}

int standin_store::register_watch(const std::string& prefix)
{
    const std::scoped_lock lock{this->mutex};
    this->waiting.emplace(++this->last_watch_number, prefix);
    return this->last_watch_number;
}

bool standin_store::is_abandoned(int number) const
{
    const std::scoped_lock lock{this->mutex};
    return this->waiting.at(number).empty();
}

std::optional<http::response> standin_store::changes_after(const std::string& prefix, std::int64_t after) const
{
    constexpr unsigned status_ok = 200;
    constexpr unsigned status_gone = 410;
    constexpr unsigned status_busy = 503;
    const std::scoped_lock lock{this->mutex};
    if (this->fault == store_fault::silent_watches)
        return std::nullopt;
    if (this->fault == store_fault::reset || this->fault == store_fault::busy)
        return http::text_response(status_busy, "");
    if (after < this->compacted_revision)
        return http::text_response(status_gone, "");
    json events = json::array();
    for (const event& change : this->history) {
        if (change.revision <= after || !change.key.starts_with(prefix))
            continue;
        json row{{"key", change.key}, {"revision", change.revision}};
        if (change.state) {
            row["value"] = to_base64(change.state->value);
            row["created"] = change.state->created;
            row["lease"] = change.state->lease;
        } else {
            row["deleted"] = true;
        }
        events.push_back(row);
    }
    if (events.empty())
        return std::nullopt;
    return make_json_response(status_ok, {{"events", events}, {"current_rev", this->revision}});
}

http::response standin_store::range(const http::request& request) const
{
    constexpr unsigned status_ok = 200;
    const std::string prefix = percent_decoded(request.query("prefix"));
    const std::scoped_lock lock{this->mutex};
    json found = json::array();
    for (const auto& [key, entry] : this->items) {
        if (!key.starts_with(prefix))
            continue;
        found.push_back({{"key", key},
                         {"value", to_base64(entry.value)},
                         {"revision", entry.revision},
                         {"created", entry.created},
                         {"lease", entry.lease}});
    }
    return make_json_response(status_ok, {{"items", found}, {"truncated", false}, {"current_rev", this->revision}});
}

http::response standin_store::transact(const http::request& request)
{
    constexpr unsigned status_ok = 200;
    constexpr unsigned status_not_found = 404;
    const json body = json::parse(request.body.text());
    const std::scoped_lock lock{this->mutex};
    for (const json& row : body.value("precondition", json::array())) {
        constexpr unsigned status_precondition_failed = 412;
        const auto found = this->items.find(row.at("key"));
        const std::int64_t current = found == this->items.end() ? 0 : found->second.revision;
        if (current != row.at("revision"))
            return make_json_response(status_precondition_failed, {{"items", json::array()}});
    }
    for (const json& put : body.at("puts")) {
        const std::int64_t lease = put.value("lease", std::int64_t{0});
        if (lease != 0 && !this->leases.contains(lease))
            return make_json_response(status_not_found, json::object());
    }
    for (const json& put : body.at("puts"))
        this->write(put.at("key"), from_base64(put.at("value").get<std::string>()),
                    put.value("lease", std::int64_t{0}));
    return make_json_response(status_ok, {{"revision", this->revision}});
}

http::response standin_store::handle_lease_call(const http::request& request)
{
    constexpr unsigned status_ok = 200;
    constexpr unsigned status_not_found = 404;
    constexpr std::string_view keep = "/kv-keep/";
    const std::scoped_lock lock{this->mutex};
    if (request.path() == "/kv-lease") {
        const std::int64_t lease = this->next_lease++;
        this->leases.emplace(lease, true);
        return make_json_response(status_ok,
                                  {{"lease", lease}, {"ttl_ms", json::parse(request.body.text()).at("ttl_ms")}});
    }
    if (request.path().starts_with(keep)) {
        const auto lease = to_integer(request.path().substr(keep.size()));
        return make_json_response(lease && this->leases.contains(*lease) ? status_ok : status_not_found,
                                  json::object());
    }
    return make_json_response(status_not_found, json::object());
}

} // namespace radishstep::testing
