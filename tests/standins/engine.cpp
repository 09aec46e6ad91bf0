#include "engine.h"

#include <unistd.h>

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <nlohmann/json.hpp>

#include "answers.h"
#include "standin_server.h"

namespace radishstep::standin {

namespace asio = boost::asio;

namespace {

constexpr milliseconds poll_time{2};
constexpr std::chrono::seconds finished_linger{2};
constexpr int bytes_per_token = 4;
constexpr int read_step = 64;
constexpr std::size_t prefix_bytes = 256;
constexpr std::size_t max_cached_prefixes = 64;

int token_count(const std::string& prompt)
{
    return std::max<int>(1, static_cast<int>(prompt.size()) / bytes_per_token);
}

http::response unknown_path()
{
    return json_answer(404, {{"error", "no such path"}});
}

} // namespace

engine::engine(asio::any_io_executor executor, engine_options options)
    : executor(executor), options(options), calls(executor), incarnation(std::to_string(wall_clock_ms())),
      started(runtime_clock::now())
{
}

asio::awaitable<void> engine::handle(const http::request& asked, http::reply& reply)
{
    this->drop_expired();
    const std::string path{asked.path()};
    if (path == "/v1/prefill")
        co_await this->prefill(asked, reply);
    else if (path.starts_with("/v1/kv/"))
        co_await this->export_result(asked, reply);
    else if (path == "/v1/decode")
        co_await this->decode(asked, reply);
    else if (path == "/v1/cancel")
        co_await reply.send(this->cancel(asked));
    else if (path == "/v1/status")
        co_await reply.send(this->status());
    else if (path == "/v1/load")
        co_await reply.send(this->late_load());
    else if (path == "/v1/orders")
        co_await reply.send(this->take_order(asked));
    else if (path == "/fault")
        co_await reply.send(this->set_fault(asked));
    else
        co_await reply.send(unknown_path());
}

asio::awaitable<void> engine::prefill(const http::request& asked, http::reply& reply)
{
    const auto body = parse_body(asked);
    const std::string job = body.value("job", "");
    const std::string prompt = body.value("prompt", "");
    this->note_seen(job);
    this->crash_if_poisoned(prompt);
    while (this->reading.contains(job))
        co_await pause_for(poll_time);
    if (const auto known = this->results.find(job); known != this->results.end()) {
        known->second.expires_at = runtime_clock::now() + this->options.evict_time;
        const http::response again = json_answer(200, {{"tokens", known->second.tokens}});
        co_await reply.send(again);
        co_return;
    }
    ++this->waiting;
    while (static_cast<int>(this->reading.size()) >= this->options.slots)
        co_await pause_for(poll_time);
    --this->waiting;
    this->reading.insert(job);
    const int tokens = token_count(prompt) + body.value("answered_tokens", 0);
    int to_read = tokens;
    const std::string prefix = prompt.substr(0, prefix_bytes);
    if (prompt.size() > prefix_bytes && this->cached_prefixes.contains(prefix))
        to_read -= static_cast<int>(prefix_bytes) / bytes_per_token;
    this->prefill_tokens += tokens;
    time_point next = runtime_clock::now();
    for (int done = 0; done < to_read && !this->cancelled.contains(job); done += read_step) {
        next += this->options.prefill_token * std::min(read_step, to_read - done) * this->slow_factor();
        co_await pause_for(next - runtime_clock::now());
    }
    this->reading.erase(job);
    if (this->cancelled.erase(job) > 0) {
        this->wasted_prefill_tokens += tokens;
        const http::response answer = json_answer(409, {{"error", "cancelled"}});
        co_await reply.send(answer);
        co_return;
    }
    if (this->cached_prefixes.size() >= max_cached_prefixes)
        this->cached_prefixes.clear();
    this->cached_prefixes[prefix] = tokens;
    this->results[job] = {prompt, tokens, runtime_clock::now() + this->options.evict_time};
    const http::response answer = json_answer(200, {{"tokens", tokens}});
    co_await reply.send(answer);
}

asio::awaitable<void> engine::export_result(const http::request& asked, http::reply& reply)
{
    const std::string job{asked.path().substr(std::string_view{"/v1/kv/"}.size())};
    const auto found = this->results.find(job);
    if (found == this->results.end()) {
        const http::response answer = json_answer(404, {{"error", "no such result"}});
        co_await reply.send(answer);
        co_return;
    }
    const prefill_result result = found->second;
    this->results.erase(found);
    while (this->stall_transfers)
        co_await pause_for(poll_time);
    co_await pause_for(this->options.transfer_token * result.tokens);
    const http::response answer = json_answer(200, {{"prompt", result.prompt}, {"tokens", result.tokens}});
    co_await reply.send(answer);
}

asio::awaitable<void> engine::decode(const http::request& asked, http::reply& reply)
{
    const auto body = parse_body(asked);
    const std::string name = body.value("job", "");
    const int offset = body.value("offset", 0);
    this->note_seen(name);
    const auto known = this->jobs.find(name);
    if (known != this->jobs.end()) {
        const auto job = known->second;
        co_await this->stream(job, offset, reply);
        co_return;
    }
    if (body.value("resume", false)) {
        const http::response answer = json_answer(404, {{"error", "not held"}});
        co_await reply.send(answer);
        co_return;
    }
    const std::string prompt = body.value("prompt", "");
    this->crash_if_poisoned(prompt.find("CRASH-DECODE") == std::string::npos ? "" : "CRASH-ENGINE");
    auto job = std::make_shared<decode_job>();
    job->prompt = prompt;
    job->first = offset;
    job->total = answer_length(prompt, body.value("max_tokens", 16));
    this->jobs[name] = job;
    ++this->waiting;
    while (this->running >= this->options.slots && !job->cancelled)
        co_await pause_for(poll_time);
    --this->waiting;
    ++this->running;
    const bool imported = !job->cancelled && co_await this->import_result(name, body.value("source", ""));
    if (!imported || job->cancelled) {
        --this->running;
        this->jobs.erase(name);
        const http::response answer = json_answer(424, {{"error", "import failed"}});
        co_await reply.send(answer);
        co_return;
    }
    asio::co_spawn(this->executor, this->generate(job), asio::detached);
    co_await this->stream(job, offset, reply);
}

asio::awaitable<bool> engine::import_result(std::string job, std::string source)
{
    http::call_options call;
    call.idle_timeout = milliseconds{2'000};
    http::request question = http::get_request("/v1/kv/" + job);
    const auto answer = co_await this->calls.call(source, std::move(question), call);
    co_return answer && answer->status == 200;
}

asio::awaitable<void> engine::generate(std::shared_ptr<decode_job> job)
{
    // Each token has its own moment, so that late wake-ups do not add up.
    time_point next = runtime_clock::now();
    for (int i = job->first; i < job->total && !job->cancelled; ++i) {
        next += this->options.decode_token * this->slow_factor();
        co_await pause_for(next - runtime_clock::now());
        job->tokens.push_back(answer_token(job->prompt, i));
        ++this->decode_tokens;
    }
    job->running = false;
    job->ended_at = runtime_clock::now();
    --this->running;
}

asio::awaitable<void> engine::stream(std::shared_ptr<decode_job> job, int offset, http::reply& reply)
{
    if (offset < job->first || offset > job->first + static_cast<int>(job->tokens.size())) {
        const http::response answer = json_answer(404, {{"error", "offset not held"}});
        co_await reply.send(answer);
        co_return;
    }
    const http::response head = http::event_stream_head();
    bool connected = co_await reply.begin(head);
    int next = offset;
    while (connected) {
        std::string part;
        while (next < job->first + static_cast<int>(job->tokens.size())) {
            const std::string& token = job->tokens[static_cast<std::size_t>(next - job->first)];
            const std::string event =
                "id: " + std::to_string(next) + "\ndata: " + nlohmann::json(token).dump() + "\n\n";
            part += event;
            const bool garble = this->garble_every > 0 && next % this->garble_every == this->garble_every - 1;
            if (garble)
                part += event;
            ++next;
        }
        if (!part.empty())
            connected = co_await reply.write(std::move(part));
        if (job->cancelled || (!job->running && next == job->total))
            break;
        co_await pause_for(poll_time);
    }
    if (connected && !job->cancelled)
        connected = co_await reply.write("event: end\ndata: {\"tokens\":" + std::to_string(job->total) + "}\n\n");
    if (connected)
        co_await reply.finish();
}

http::response engine::cancel(const http::request& asked)
{
    const std::string name = parse_body(asked).value("job", "");
    bool held = false;
    if (const auto result = this->results.find(name); result != this->results.end()) {
        this->wasted_prefill_tokens += result->second.tokens;
        this->results.erase(result);
        held = true;
    }
    if (this->reading.contains(name)) {
        this->cancelled.insert(name);
        held = true;
    }
    if (const auto job = this->jobs.find(name); job != this->jobs.end()) {
        job->second->cancelled = true;
        this->jobs.erase(job);
        held = true;
    }
    return json_answer(200, {{"held", held}});
}

http::response engine::status()
{
    std::vector<std::string> held;
    for (const auto& [name, job] : this->jobs) {
        if (job->running)
            held.push_back(name);
    }
    for (const auto& [name, result] : this->results)
        held.push_back(name);
    held.insert(held.end(), this->reading.begin(), this->reading.end());
    return json_answer(200, {{"incarnation", this->incarnation},
                             {"uptime_ms", to_ms(runtime_clock::now() - this->started)},
                             {"leaving", this->leaving},
                             {"jobs", held},
                             {"prefill_tokens", this->prefill_tokens},
                             {"wasted_prefill_tokens", this->wasted_prefill_tokens},
                             {"decode_tokens", this->decode_tokens},
                             {"late_orders", this->late_orders}});
}

http::response engine::late_load()
{
    const time_point now = runtime_clock::now();
    this->load_history.emplace_back(now, this->running + this->waiting + static_cast<int>(this->reading.size()));
    while (this->load_history.size() > 1 && this->load_history[1].first + this->options.load_lag < now)
        this->load_history.pop_front();
    return json_answer(200, {{"load", this->load_history.front().second}});
}

http::response engine::take_order(const http::request& asked)
{
    const std::int64_t fence = parse_body(asked).value("fence", std::int64_t{0});
    const bool is_late = fence < this->highest_fence;
    if (is_late && this->options.checks_fence)
        return json_answer(409, {{"error", "old fencing token"}});
    this->late_orders += is_late ? 1 : 0;
    this->highest_fence = std::max(this->highest_fence, fence);
    return json_answer(200, {{"done", true}});
}

http::response engine::set_fault(const http::request& asked)
{
    const auto body = parse_body(asked);
    this->slowness = body.value("slow_factor", 1);
    this->slow_until = runtime_clock::now() + milliseconds{body.value("slow_ms", 0)};
    this->stall_transfers = body.value("stall_transfers", false);
    this->garble_every = body.value("repeat_every", 0);
    this->leaving = body.value("leaving", this->leaving);
    return json_answer(200, {{"done", true}});
}

void engine::crash_if_poisoned(const std::string& prompt) const
{
    if (prompt.find("CRASH-ENGINE") != std::string::npos)
        _exit(3);
}

void engine::note_seen(const std::string& job) const
{
    append_line(this->options.seen_log, std::to_string(wall_clock_ms()) + " " + job);
}

void engine::drop_expired()
{
    const time_point now = runtime_clock::now();
    for (auto item = this->results.begin(); item != this->results.end();) {
        if (item->second.expires_at > now) {
            ++item;
            continue;
        }
        this->wasted_prefill_tokens += item->second.tokens;
        item = this->results.erase(item);
    }
    std::erase_if(this->jobs, [now](const auto& item) {
        return !item.second->running && item.second->ended_at != time_point{} &&
               item.second->ended_at + finished_linger < now;
    });
}

int engine::slow_factor() const
{
    return runtime_clock::now() < this->slow_until ? this->slowness : 1;
}

} // namespace radishstep::standin
