#include "standin_engine.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include "base/pause.h"
#include "base/text.h"

namespace radishstep::testing {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_internal_error = 500;

std::string misdirected_response(const http::request& request)
{
    const std::string request_id{http::find_header(request.lines, "Attempt-Id")};
    return http_answer(status_misdirected, {{"Instance-Id", "another"}, {"Attempt-Id", request_id}}, "");
}

/// Counts a call as active during its lifetime.
struct active_guard
{
    explicit active_guard(std::atomic<int>& active) : active(active) { ++this->active; }
    ~active_guard() { --this->active; }
    active_guard(const active_guard&) = delete;
    active_guard& operator=(const active_guard&) = delete;

    std::atomic<int>& active;
};

} // namespace

std::string stream_event(const std::string& request_id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request_id + " event " + std::to_string(number) + "\n\n";
}

http::headers engine_headers(const engine_call& call)
{
    return {{"Attempt-Id", call.id}, {"Server-Signature", "signed"}};
}

std::string whole_stream(const std::string& request_id)
{
    std::string text;
    for (int number = 1; number <= standin_engine::stream_events; ++number)
        text += stream_event(request_id, number);
    return text;
}

standin_engine::standin_engine(const asio::any_io_executor& executor, std::string id, std::string service,
                               std::string phase)
    : id(std::move(id)), service(std::move(service)), phase(std::move(phase)),
      server(executor, "127.0.0.1:0", [this](const http::request& request, raw_connection& caller) {
          return this->handle_request(request, caller);
      })
{
}

std::string standin_engine::entry(const std::string& state) const
{
    const std::scoped_lock lock{this->mutex};
    json document{{"service", this->service},
                  {"address", this->advertised_address.empty() ? this->address() : this->advertised_address},
                  {"zone", "a"},
                  {"version", "v1"},
                  {"slots", 6},
                  {"state", state},
                  {"sequence", 1},
                  {"cold_remaining_ms", 0},
                  {"born", this->started_ms}};
    if (!this->phase.empty())
        document["phase"] = this->phase;
    return document.dump();
}

void standin_engine::set_fault(engine_fault new_fault)
{
    const std::scoped_lock lock{this->mutex};
    this->fault = new_fault;
}

void standin_engine::set_work_time(milliseconds time)
{
    const std::scoped_lock lock{this->mutex};
    this->work_time = time;
}

void standin_engine::set_deadly_part(const std::string& part)
{
    const std::scoped_lock lock{this->mutex};
    this->deadly_part = part;
}

bool standin_engine::is_deadly(const http::request& request) const
{
    const std::scoped_lock lock{this->mutex};
    return !this->deadly_part.empty() &&
           http::find_header(request.lines, "Prefix-Hash").find(this->deadly_part) != std::string_view::npos;
}

void standin_engine::set_deadly_request(std::function<bool(const http::request&)> is_deadly)
{
    const std::scoped_lock lock{this->mutex};
    this->deadly_request = std::move(is_deadly);
}

bool standin_engine::crashes_on(const http::request& request) const
{
    const std::scoped_lock lock{this->mutex};
    return this->deadly_request && this->deadly_request(request);
}

void standin_engine::crash()
{
    asio::post(this->server.executor(), [this] { this->crash_now(); });
}

void standin_engine::crash_now()
{
    this->is_crashed = true;
    this->server.stop();
    if (!this->has_half_open_crashes)
        this->server.reset_connections();
    const std::scoped_lock lock{this->mutex};
    if (this->away_time)
        asio::co_spawn(this->server.executor(), this->come_back_after(*this->away_time), asio::detached);
}

asio::awaitable<void> standin_engine::come_back_after(milliseconds time)
{
    co_await pause_for(time);
    this->restart();
    this->server.start_again();
    this->is_crashed = false;
}

void standin_engine::set_half_open_crashes()
{
    this->has_half_open_crashes = true;
}

void standin_engine::set_away_time(milliseconds time)
{
    const std::scoped_lock lock{this->mutex};
    this->away_time = time;
}

void standin_engine::set_script(answer_script new_script)
{
    const std::scoped_lock lock{this->mutex};
    this->script = std::move(new_script);
}

void standin_engine::set_control_script(answer_script new_script)
{
    const std::scoped_lock lock{this->mutex};
    this->control_script = std::move(new_script);
}

void standin_engine::set_leaving(bool leaving)
{
    const std::scoped_lock lock{this->mutex};
    this->is_leaving = leaving;
}

bool standin_engine::says_it_is_leaving() const
{
    const std::scoped_lock lock{this->mutex};
    return this->is_leaving;
}

void standin_engine::set_pause(std::optional<std::string> retry_after)
{
    const std::scoped_lock lock{this->mutex};
    this->pause = std::move(retry_after);
}

std::optional<std::string> standin_engine::current_pause() const
{
    const std::scoped_lock lock{this->mutex};
    return this->pause;
}

void standin_engine::restart()
{
    const std::scoped_lock lock{this->mutex};
    this->is_leaving = false;
    this->pause.reset();
    this->started_ms = wall_clock_ms();
}

std::vector<engine_call> standin_engine::calls() const
{
    const std::scoped_lock lock{this->mutex};
    return this->all_calls;
}

int standin_engine::runs() const
{
    const std::scoped_lock lock{this->mutex};
    return static_cast<int>(std::ranges::count_if(this->all_calls, &engine_call::has_run));
}

std::size_t standin_engine::record_call(const http::request& request, const std::string& kind,
                                        const raw_connection& caller)
{
    boost::system::error_code ignored;
    const unsigned caller_port = caller.socket.remote_endpoint(ignored).port();
    const std::scoped_lock lock{this->mutex};
    this->all_calls.push_back({std::string{http::find_header(request.lines, "Attempt-Id")}, kind, request, false, false,
                               runtime_clock::now(), caller_port, this->started_ms, std::nullopt});
    return this->all_calls.size() - 1;
}

void standin_engine::mark_run(std::size_t call)
{
    const std::scoped_lock lock{this->mutex};
    this->all_calls[call].has_run = true;
}

void standin_engine::mark_pause(std::size_t call, const std::string& retry_after)
{
    const std::scoped_lock lock{this->mutex};
    this->all_calls[call].asked_pause = retry_after;
}

void standin_engine::mark_caller_disconnected(std::size_t call)
{
    const std::scoped_lock lock{this->mutex};
    this->all_calls[call].caller_disconnected = true;
}

engine_fault standin_engine::current_fault() const
{
    const std::scoped_lock lock{this->mutex};
    return this->fault;
}

answer_script standin_engine::current_script() const
{
    const std::scoped_lock lock{this->mutex};
    return this->script;
}

http::headers standin_engine::response_headers(std::size_t call) const
{
    const std::scoped_lock lock{this->mutex};
    http::headers lines{{"Attempt-Id", this->all_calls[call].id}};
    if (this->fault == engine_fault::wrong_id)
        lines.front().value = "of-another-call";
    if (this->fault != engine_fault::no_signature)
        lines.push_back({"Server-Signature", this->id + ".signed"});
    if (this->fault == engine_fault::encoded)
        lines.push_back({"Content-Encoding", "gzip"});
    if (this->is_leaving)
        lines.push_back({"Server-Leaving", "1"});
    return lines;
}

asio::awaitable<bool> standin_engine::handle_request(const http::request& request, raw_connection& caller)
{
    const std::string expected_instance{http::find_header(request.lines, "Expect-Instance")};
    const bool is_prefill = http::find_header(request.lines, "Serving-Phase") == "prefill";
    constexpr unsigned status_accepted = 202;
    if (request.path() == "/order")
        co_return co_await this->send_control_response(this->record_call(request, "order", caller), caller,
                                                       status_accepted);
    if (request.path().starts_with("/kv-handle/"))
        co_return co_await this->send_control_response(this->record_call(request, "release", caller), caller,
                                                       status_ok);
    const std::size_t call = this->record_call(request, is_prefill ? "prefill" : this->phase, caller);
    if (answer_script active_script = this->current_script())
        co_return co_await this->send_scripted_answer(call, caller, std::move(active_script));
    const engine_fault active_fault = this->current_fault();
    const bool is_misdirected =
        active_fault == engine_fault::other_instance || (!expected_instance.empty() && expected_instance != this->id);
    if (is_misdirected || (is_prefill && this->phase != "prefill") || (!is_prefill && this->phase == "prefill")) {
        co_return co_await caller.write(misdirected_response(request));
    }
    if (active_fault == engine_fault::late_shed)
        co_await pause_for(milliseconds{500});
    if (active_fault == engine_fault::shed || active_fault == engine_fault::late_shed) {
        http::headers lines = this->response_headers(call);
        lines.push_back({"Not-Executed", "1"});
        co_return co_await caller.write(http_answer(status_unavailable, lines, ""));
    }
    if (const auto retry_after = this->current_pause()) {
        // With another id the answer is not one to this call.
        if (active_fault != engine_fault::wrong_id)
            this->mark_pause(call, *retry_after);
        http::headers lines = this->response_headers(call);
        lines.push_back({"Not-Executed", "1"});
        lines.push_back({"Retry-After", *retry_after});
        co_return co_await caller.write(http_answer(status_unavailable, lines, ""));
    }
    if (!is_prefill && this->crashes_on(request)) {
        this->mark_run(call);
        this->crash_now();
        while (this->has_half_open_crashes && !caller.is_closed_by_peer())
            co_await pause_for(milliseconds{20});
        co_return false;
    }
    if (is_prefill)
        co_return co_await this->send_prefill_response(call, caller);
    if (this->phase == "decode")
        co_return co_await this->send_stream(call, caller);
    co_return co_await this->send_plain_response(call, caller);
}

asio::awaitable<bool> standin_engine::send_control_response(std::size_t call, raw_connection& caller, unsigned status)
{
    answer_script script;
    {
        const std::scoped_lock lock{this->mutex};
        script = this->control_script;
    }
    if (script)
        co_return co_await this->send_scripted_answer(call, caller, std::move(script));
    http::headers lines;
    if (this->says_it_is_leaving())
        lines.push_back({"Server-Leaving", "1"});
    const auto retry_after = this->current_pause();
    if (!retry_after)
        co_return co_await caller.write(http_answer(status, lines, ""));
    this->mark_pause(call, *retry_after);
    lines.push_back({"Retry-After", *retry_after});
    co_return co_await caller.write(http_answer(status_unavailable, lines, ""));
}

asio::awaitable<bool> standin_engine::simulate_work(std::size_t call, raw_connection& caller)
{
    const active_guard working{this->active_calls};
    milliseconds remaining{0};
    {
        const std::scoped_lock lock{this->mutex};
        remaining = this->work_time;
    }
    const time_point deadline = runtime_clock::now() + remaining;
    while (runtime_clock::now() < deadline || this->current_fault() == engine_fault::never_answers) {
        if (caller.is_closed_by_peer()) {
            this->mark_caller_disconnected(call);
            co_return false;
        }
        co_await pause_for(milliseconds{2});
    }
    co_return true;
}

asio::awaitable<void> standin_engine::send_without_end(raw_connection& caller, std::string bytes, milliseconds pause)
{
    bool is_open = true;
    while (is_open) {
        std::string part = bytes;
        is_open = co_await caller.write(std::move(part));
        co_await pause_for(pause);
    }
}

asio::awaitable<bool> standin_engine::send_scripted_answer(std::size_t call, raw_connection& caller,
                                                           answer_script script)
{
    const scripted_answer answer = script(this->calls()[call]);
    if (answer.has_run)
        this->mark_run(call);
    bool is_first = true;
    for (const std::string& part : answer.parts) {
        if (!std::exchange(is_first, false))
            co_await pause_for(answer.pause);
        if (!co_await caller.write(part))
            co_return false;
    }
    if (!answer.repeated.empty()) {
        co_await send_without_end(caller, answer.repeated, answer.pause);
        co_return false;
    }
    if (answer.end == answer_end::shut_down_then_reset)
        caller.shut_down_sending();
    if (answer.end == answer_end::reset || answer.end == answer_end::shut_down_then_reset) {
        co_await pause_for(answer.reset_delay);
        caller.reset();
    }
    if (answer.end == answer_end::close)
        caller.close();
    co_return answer.end == answer_end::keep_open;
}

asio::awaitable<bool> standin_engine::send_plain_response(std::size_t call, raw_connection& caller)
{
    this->mark_run(call);
    constexpr std::size_t part_bytes = 32UL * 1024;
    if (this->current_fault() == engine_fault::endless_head) {
        co_await caller.write("HTTP/1.1 200 OK\r\n");
        co_await send_without_end(caller, "X-Filler: " + std::string(part_bytes, 'x') + "\r\n", milliseconds{1});
        co_return false;
    }
    if (this->current_fault() == engine_fault::endless_unframed_body) {
        co_await caller.write(unframed_answer(status_ok, this->response_headers(call), ""));
        co_await send_without_end(caller, std::string(part_bytes, 'x'), milliseconds{1});
        co_return false;
    }
    if (this->current_fault() == engine_fault::endless_body) {
        std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
        for (const http::header& line : this->response_headers(call))
            head += line.name + ": " + line.value + "\r\n";
        co_await caller.write(head + "\r\n");
        co_await send_without_end(caller, chunk(std::string(part_bytes, 'x')), milliseconds{1});
        co_return false;
    }
    const bool is_caller_connected = co_await this->simulate_work(call, caller);
    if (!is_caller_connected)
        co_return false;
    const engine_fault active_fault = this->current_fault();
    if (active_fault == engine_fault::reset_after_run) {
        caller.reset();
        co_return false;
    }
    const http::headers lines = this->response_headers(call);
    // Responses that must not be forwarded have bodies of their own, since the gateway writes the headers itself.
    std::string body = "whole answer of " + this->id;
    if (active_fault == engine_fault::wrong_id)
        body = "answer to another call";
    if (active_fault == engine_fault::no_signature)
        body = "answer without a signature";
    if (active_fault == engine_fault::error_500)
        co_return co_await caller.write(http_answer(status_internal_error, lines, "engine failure"));
    std::string bytes = http_answer(status_ok, lines, body);
    if (active_fault == engine_fault::cut_body) {
        constexpr std::size_t missing = 5;
        bytes.resize(bytes.size() - missing);
        co_await caller.write(bytes);
        caller.close();
        co_return false;
    }
    if (active_fault == engine_fault::extra_answer)
        bytes += http_answer(status_ok, lines, "second answer");
    co_return co_await caller.write(bytes);
}

asio::awaitable<bool> standin_engine::send_prefill_response(std::size_t call, raw_connection& caller)
{
    const bool is_caller_connected = co_await this->simulate_work(call, caller);
    if (!is_caller_connected)
        co_return false;
    if (this->current_fault() == engine_fault::reset_after_run) {
        caller.reset();
        co_return false;
    }
    const std::string body = json{{"handle", "h" + std::to_string(call)}, {"tokens", 100}, {"version", 1}}.dump();
    co_return co_await caller.write(http_answer(status_ok, this->response_headers(call), body));
}

asio::awaitable<bool> standin_engine::send_stream(std::size_t call, raw_connection& caller)
{
    const engine_call received = this->calls()[call];
    const bool has_source = !http::find_header(received.request.lines, "Kv-Source").empty();
    if (has_source && this->current_fault() == engine_fault::expired_prefill_results) {
        http::headers lines = this->response_headers(call);
        lines.push_back({"Not-Executed", "1"});
        co_return co_await caller.write(http_answer(status_unavailable, lines, ""));
    }
    this->mark_run(call);
    if (this->current_fault() == engine_fault::reset_after_run || this->is_deadly(received.request)) {
        caller.reset();
        co_return false;
    }
    if (this->current_fault() == engine_fault::late_head)
        co_await pause_for(stream_pause);
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const http::header& line : this->response_headers(call))
        head += line.name + ": " + line.value + "\r\n";
    co_await caller.write(head + "\r\n");
    const auto start = to_integer(http::find_header(received.request.lines, "Last-Event-Id")).value_or(0);
    for (int number = static_cast<int>(start) + 1; number <= stream_events; ++number) {
        const bool is_caller_connected = co_await this->simulate_work(call, caller);
        if (!is_caller_connected)
            co_return false;
        const std::string event = stream_event(received.id, number);
        constexpr int cut_event = 4;
        if (this->current_fault() == engine_fault::cut_stream && number == cut_event) {
            co_await caller.write(chunk(event.substr(0, event.size() / 2)));
            co_await pause_for(milliseconds{5});
            caller.reset();
            co_return false;
        }
        constexpr int last_event_before_drip = 3;
        if (this->current_fault() == engine_fault::dripping_stream && number > last_event_before_drip) {
            co_await send_without_end(caller, chunk(":"), milliseconds{100});
            this->mark_caller_disconnected(call);
            co_return false;
        }
        constexpr int events_before_pause = 3;
        const bool is_short = this->current_fault() == engine_fault::short_pause;
        const bool has_pause = is_short || this->current_fault() == engine_fault::pausing_stream;
        if (has_pause && number == start + events_before_pause + 1) {
            co_await pause_for(is_short ? milliseconds{1'350} : stream_pause);
            if (caller.is_closed_by_peer()) {
                this->mark_caller_disconnected(call);
                co_return false;
            }
        }
        co_await caller.write(chunk(event));
    }
    co_return co_await caller.write("0\r\n\r\n");
}

} // namespace radishstep::testing
