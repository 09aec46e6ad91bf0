#include "load/load_run.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "base/runtime_clock.h"
#include "http/event_stream.h"

namespace radishstep::load {

namespace asio = boost::asio;

namespace {

constexpr milliseconds patience{60'000};
constexpr unsigned status_ok = 200;

/// What the calls of one load share.
struct load_state
{
    http::client& calls;
    load_options options;
    std::vector<planned_call> plan;
    std::vector<call_sample> samples;
    time_point started;
    std::size_t open = 0;
};

http::request completion_call(const load_state& state, std::size_t number)
{
    const planned_call& call = state.plan[number];
    nlohmann::json body;
    body["model"] = state.options.model;
    body["prompt"] = prompt_of(call, number);
    body["max_tokens"] = call.answer_tokens;
    body["stream"] = true;
    body["priority"] = call.batch ? "batch" : "interactive";
    return http::json_request("POST", "/v1/completions", body.dump());
}

void authorise(const load_state& state, std::size_t number, http::request& asked)
{
    if (!state.options.keys.empty())
        asked.lines.push_back({"Authorization", "Bearer " + state.options.keys[state.plan[number].client]});
}

const std::string& entry_of(const load_state& state, std::size_t number)
{
    return state.options.entries[number % state.options.entries.size()];
}

void note_refusal(call_sample& sample, const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    sample.refused = true;
    if (!json.is_object() || !json.contains("error"))
        return;
    sample.error_kind = json["error"].value("kind", "");
    sample.refused_not_run = json["error"].value("ran", "") == "not_run";
}

/// Reads one stream into its sample.
class stream_reader
{
public:
    stream_reader(call_sample& sample, time_point due) : sample(sample), due(due) {}

    void take(const std::string& bytes)
    {
        for (const http::server_sent_event& event : this->reader.push(bytes))
            this->take(event);
    }

private:
    void take(const http::server_sent_event& event)
    {
        const time_point now = runtime_clock::now();
        if (event.event == "error") {
            note_refusal(this->sample, event.data);
            return;
        }
        if (event.data == "[DONE]") {
            this->sample.whole = true;
            return;
        }
        // The event that ends an answer has a finish reason and no text.
        if (event.data.find("\"finish_reason\":null") == std::string::npos)
            return;
        if (this->sample.tokens++ == 0) {
            this->sample.first_token_ms = to_ms(now - this->due);
            this->first = now;
        }
        if (this->sample.tokens > 1)
            this->sample.mean_token_ms = to_ms(now - this->first) / (this->sample.tokens - 1);
    }

    call_sample& sample;
    time_point due;
    time_point first;
    http::event_stream_reader reader;
};

asio::awaitable<void> read_answer(http::body_stream& stream, call_sample& sample, time_point due)
{
    stream_reader reader{sample, due};
    std::string whole;
    const bool is_stream = stream.head().status == status_ok;
    while (true) {
        const auto part = co_await stream.next();
        if (!part || part->empty())
            break;
        if (is_stream)
            reader.take(*part);
        else
            whole += *part;
    }
    if (!is_stream)
        note_refusal(sample, whole);
}

asio::awaitable<void> send_call(load_state& state, std::size_t number)
{
    const planned_call& call = state.plan[number];
    const auto due =
        state.started + std::chrono::duration_cast<runtime_clock::duration>(std::chrono::duration<double>(call.at_s));
    call_sample& sample = state.samples[number];
    http::request asked = call.plain ? http::get_request(state.options.plain_path) : completion_call(state, number);
    authorise(state, number, asked);
    http::call_options options;
    options.idle_timeout = patience;
    const std::string address = entry_of(state, number);
    auto stream = co_await state.calls.open(address, std::move(asked), options);
    if (stream && call.plain) {
        const auto body = co_await (*stream)->next();
        sample.whole = body.has_value() && (*stream)->head().status == status_ok;
        co_await (*stream)->next();
    } else if (stream) {
        co_await read_answer(**stream, sample, due);
    }
    sample.total_ms = to_ms(runtime_clock::now() - due);
    --state.open;
}

call_sample first_sample(const planned_call& call)
{
    call_sample sample;
    sample.at_s = call.at_s;
    sample.client = call.client;
    sample.plain = call.plain;
    sample.batch = call.batch;
    return sample;
}

} // namespace

asio::awaitable<std::vector<call_sample>> run_load(http::client& calls, load_options options,
                                                   std::vector<planned_call> plan)
{
    const auto executor = co_await asio::this_coro::executor;
    load_state state{calls, std::move(options), std::move(plan), {}, runtime_clock::now(), 0};
    for (const planned_call& call : state.plan)
        state.samples.push_back(first_sample(call));
    timer pause{executor};
    boost::system::error_code ignored;
    for (std::size_t i = 0; i < state.plan.size(); ++i) {
        const std::chrono::duration<double> at{state.plan[i].at_s};
        pause.expires_at(state.started + std::chrono::duration_cast<runtime_clock::duration>(at));
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        ++state.open;
        asio::co_spawn(executor, send_call(state, i), asio::detached);
    }
    while (state.open > 0) {
        pause.expires_after(std::chrono::milliseconds{10});
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(state.samples);
}

} // namespace radishstep::load
