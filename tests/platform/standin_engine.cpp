#include "standin_engine.h"

#include <array>
#include <cstdio>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/pause.h"
#include "base/text.h"

namespace radishstep::testing {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned full = 503;
constexpr unsigned misdirected = 421;
constexpr unsigned failed = 500;

std::string stream_event(const std::string& request_id, int number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request_id + " event " + std::to_string(number) + "\n\n";
}

std::string misdirected_answer()
{
    return http_answer(misdirected, {{"Instance-Id", "another"}}, "");
}

/// Counts a call for as long as it is worked on.
struct active_guard
{
    explicit active_guard(std::atomic<int>& active) : active(active) { ++this->active; }
    ~active_guard() { --this->active; }
    active_guard(const active_guard&) = delete;
    active_guard& operator=(const active_guard&) = delete;

    std::atomic<int>& active;
};

std::string chunk(const std::string& bytes)
{
    std::array<char, 16> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return std::string{size.data(), static_cast<std::size_t>(length)} + bytes + "\r\n";
}

} // namespace

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
      server(executor, "127.0.0.1:0",
             [this](const http::request& asked, raw_connection& caller) { return this->answer(asked, caller); })
{
}

std::string standin_engine::entry(const std::string& state) const
{
    json document{{"service", this->service},
                  {"address", this->announced.empty() ? this->address() : this->announced},
                  {"zone", "a"},
                  {"version", "v1"},
                  {"slots", 6},
                  {"state", state},
                  {"sequence", 1},
                  {"cold_remaining_ms", 0},
                  {"born", 1'700'000'000'000}};
    if (!this->phase.empty())
        document["phase"] = this->phase;
    return document.dump();
}

void standin_engine::set_fault(engine_fault next)
{
    const std::scoped_lock lock{this->mutex};
    this->fault = next;
}

void standin_engine::set_work_time(milliseconds time)
{
    const std::scoped_lock lock{this->mutex};
    this->work_time = time;
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

std::size_t standin_engine::note(const http::request& asked, const std::string& kind)
{
    const std::scoped_lock lock{this->mutex};
    this->all_calls.push_back(
        {std::string{http::find_header(asked.lines, "Attempt-Id")}, kind, asked, false, false, runtime_clock::now()});
    return this->all_calls.size() - 1;
}

void standin_engine::note_run(std::size_t call)
{
    const std::scoped_lock lock{this->mutex};
    this->all_calls[call].has_run = true;
}

void standin_engine::note_left(std::size_t call)
{
    const std::scoped_lock lock{this->mutex};
    this->all_calls[call].caller_left = true;
}

engine_fault standin_engine::current_fault() const
{
    const std::scoped_lock lock{this->mutex};
    return this->fault;
}

http::headers standin_engine::head_of(std::size_t call) const
{
    const std::scoped_lock lock{this->mutex};
    http::headers lines{{"Attempt-Id", this->all_calls[call].id}};
    if (this->fault == engine_fault::wrong_id)
        lines.front().value = "of-another-call";
    if (this->fault != engine_fault::no_signature)
        lines.push_back({"Server-Signature", this->id + ".signed"});
    if (this->fault == engine_fault::encoded)
        lines.push_back({"Content-Encoding", "gzip"});
    return lines;
}

asio::awaitable<bool> standin_engine::answer(const http::request& asked, raw_connection& caller)
{
    const std::string wanted{http::find_header(asked.lines, "Expect-Instance")};
    const bool is_prefill = http::find_header(asked.lines, "Serving-Phase") == "prefill";
    if (asked.path() == "/order") {
        this->note(asked, "order");
        constexpr unsigned accepted = 202;
        co_return co_await caller.write(http_answer(accepted, {}, ""));
    }
    if (asked.path().starts_with("/kv-handle/")) {
        this->note(asked, "release");
        co_return co_await caller.write(http_answer(ok, {}, ""));
    }
    const std::size_t call = this->note(asked, is_prefill ? "prefill" : this->phase);
    const engine_fault now = this->current_fault();
    const bool is_other = now == engine_fault::other_instance || (!wanted.empty() && wanted != this->id);
    if (is_other || (is_prefill && this->phase != "prefill") || (!is_prefill && this->phase == "prefill")) {
        co_return co_await caller.write(misdirected_answer());
    }
    if (now == engine_fault::shed) {
        http::headers lines = this->head_of(call);
        lines.push_back({"Not-Executed", "1"});
        co_return co_await caller.write(http_answer(full, lines, ""));
    }
    if (is_prefill)
        co_return co_await this->answer_prefill(call, caller);
    if (this->phase == "decode")
        co_return co_await this->answer_stream(call, caller);
    co_return co_await this->answer_whole(call, caller);
}

asio::awaitable<bool> standin_engine::work(std::size_t call, raw_connection& caller)
{
    const active_guard working{this->active_calls};
    milliseconds left{0};
    {
        const std::scoped_lock lock{this->mutex};
        left = this->work_time;
    }
    const time_point until = runtime_clock::now() + left;
    while (runtime_clock::now() < until || this->current_fault() == engine_fault::never_answers) {
        if (caller.is_closed_by_peer()) {
            this->note_left(call);
            co_return false;
        }
        co_await pause_for(milliseconds{2});
    }
    co_return true;
}

asio::awaitable<bool> standin_engine::answer_whole(std::size_t call, raw_connection& caller)
{
    this->note_run(call);
    const bool is_awaited = co_await this->work(call, caller);
    if (!is_awaited)
        co_return false;
    const engine_fault now = this->current_fault();
    if (now == engine_fault::reset_after_run) {
        caller.reset();
        co_return false;
    }
    const http::headers lines = this->head_of(call);
    // Answers that must not go on are told apart by their bodies: the gateway writes the heads itself.
    std::string body = "whole answer of " + this->id;
    if (now == engine_fault::wrong_id)
        body = "answer to another call";
    if (now == engine_fault::no_signature)
        body = "answer without a signature";
    if (now == engine_fault::error_500)
        co_return co_await caller.write(http_answer(failed, lines, "engine failure"));
    std::string bytes = http_answer(ok, lines, body);
    if (now == engine_fault::cut_body) {
        constexpr std::size_t missing = 5;
        bytes.resize(bytes.size() - missing);
        co_await caller.write(bytes);
        caller.close();
        co_return false;
    }
    if (now == engine_fault::extra_answer)
        bytes += http_answer(ok, lines, "second answer");
    co_return co_await caller.write(bytes);
}

asio::awaitable<bool> standin_engine::answer_prefill(std::size_t call, raw_connection& caller)
{
    const bool is_awaited = co_await this->work(call, caller);
    if (!is_awaited)
        co_return false;
    if (this->current_fault() == engine_fault::reset_after_run) {
        caller.reset();
        co_return false;
    }
    const std::string body = json{{"handle", "h" + std::to_string(call)}, {"tokens", 100}, {"version", 1}}.dump();
    co_return co_await caller.write(http_answer(ok, this->head_of(call), body));
}

asio::awaitable<bool> standin_engine::answer_stream(std::size_t call, raw_connection& caller)
{
    const engine_call asked = this->calls()[call];
    const bool has_source = !http::find_header(asked.asked.lines, "Kv-Source").empty();
    if (has_source && this->current_fault() == engine_fault::expired_prefill_results) {
        http::headers lines = this->head_of(call);
        lines.push_back({"Not-Executed", "1"});
        co_return co_await caller.write(http_answer(full, lines, ""));
    }
    this->note_run(call);
    if (this->current_fault() == engine_fault::reset_after_run) {
        caller.reset();
        co_return false;
    }
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
    for (const http::header& line : this->head_of(call))
        head += line.name + ": " + line.value + "\r\n";
    co_await caller.write(head + "\r\n");
    const auto start = to_integer(http::find_header(asked.asked.lines, "Last-Event-Id")).value_or(0);
    for (int number = static_cast<int>(start) + 1; number <= stream_events; ++number) {
        const bool is_awaited = co_await this->work(call, caller);
        if (!is_awaited)
            co_return false;
        const std::string event = stream_event(asked.id, number);
        constexpr int cut_at = 4;
        if (this->current_fault() == engine_fault::cut_stream && number == cut_at) {
            co_await caller.write(chunk(event.substr(0, event.size() / 2)));
            co_await pause_for(milliseconds{5});
            caller.reset();
            co_return false;
        }
        co_await caller.write(chunk(event));
    }
    co_return co_await caller.write("0\r\n\r\n");
}

} // namespace radishstep::testing
