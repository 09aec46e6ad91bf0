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

constexpr milliseconds stream_idle_timeout{60'000};
constexpr unsigned status_ok = 200;

/// State shared by the calls of one load.
struct run_state
{
    http::client& http_client;
    load_options options;
    std::vector<planned_call> plan;
    std::vector<call_sample> samples;
    time_point started;
    std::size_t open_calls = 0;
};

http::request completion_request(const run_state& state, std::size_t number)
{
    const planned_call& call = state.plan[number];
    nlohmann::json body;
    body["model"] = state.options.model;
    body["prompt"] = make_prompt(call, number);
    body["max_tokens"] = call.answer_tokens;
    body["stream"] = true;
    body["priority"] = call.batch ? "batch" : "interactive";
    return http::json_request("POST", "/v1/completions", body.dump());
}

void authorise(const run_state& state, std::size_t number, http::request& entry_request)
{
    if (!state.options.keys.empty())
        entry_request.lines.push_back({"Authorization", "Bearer " + state.options.keys[state.plan[number].client]});
}

const std::string& entry_address(const run_state& state, std::size_t number)
{
    return state.options.entries[number % state.options.entries.size()];
}

void record_refusal(call_sample& sample, const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    sample.refused = true;
    if (!json.is_object() || !json.contains("error"))
        return;
    sample.error_kind = json["error"].value("kind", "");
    sample.refused_not_run = json["error"].value("ran", "") == "not_run";
}

/// Parses the event stream of one completion into its sample.
class completion_reader
{
public:
    completion_reader(call_sample& sample, time_point due) : sample(sample), due(due) {}

    void on_bytes(const std::string& bytes)
    {
        for (const http::server_sent_event& event : this->events.push(bytes))
            this->on_event(event);
    }

private:
    void on_event(const http::server_sent_event& event)
    {
        const time_point now = runtime_clock::now();
        if (event.event == "error") {
            record_refusal(this->sample, event.data);
            return;
        }
        if (event.data == "[DONE]") {
            this->sample.whole = true;
            return;
        }
        // The last event of an answer carries a finish reason and no token.
        if (event.data.find("\"finish_reason\":null") == std::string::npos)
            return;
        if (this->sample.tokens++ == 0) {
            this->sample.first_token_ms = to_ms(now - this->due);
            this->first_token_at = now;
        }
        if (this->sample.tokens > 1)
            this->sample.mean_token_ms = to_ms(now - this->first_token_at) / (this->sample.tokens - 1);
    }

    call_sample& sample;
    time_point due;
    time_point first_token_at;
    http::event_stream_reader events;
};

asio::awaitable<void> read_answer(http::body_stream& stream, call_sample& sample, time_point due)
{
    completion_reader reader{sample, due};
    std::string error_body;
    const bool is_stream = stream.head().status == status_ok;
    while (true) {
        const auto part = co_await stream.next();
        if (!part || part->empty())
            break;
        if (is_stream)
            reader.on_bytes(*part);
        else
            error_body += *part;
    }
    if (!is_stream)
        record_refusal(sample, error_body);
}

asio::awaitable<void> send_call(run_state& state, std::size_t number)
{
    const planned_call& call = state.plan[number];
    const auto due =
        state.started + std::chrono::duration_cast<runtime_clock::duration>(std::chrono::duration<double>(call.at_s));
    call_sample& sample = state.samples[number];
    http::request entry_request =
        call.plain ? http::get_request(state.options.plain_path) : completion_request(state, number);
    authorise(state, number, entry_request);
    http::call_options options;
    options.idle_timeout = stream_idle_timeout;
    const std::string address = entry_address(state, number);
    auto stream = co_await state.http_client.open(address, std::move(entry_request), options);
    if (stream && call.plain) {
        const auto body = co_await (*stream)->next();
        sample.whole = body.has_value() && (*stream)->head().status == status_ok;
        co_await (*stream)->next();
    } else if (stream) {
        co_await read_answer(**stream, sample, due);
    }
    sample.total_ms = to_ms(runtime_clock::now() - due);
    --state.open_calls;
}

call_sample make_sample(const planned_call& call)
{
    call_sample sample;
    sample.at_s = call.at_s;
    sample.client = call.client;
    sample.plain = call.plain;
    sample.batch = call.batch;
    return sample;
}

} // namespace

asio::awaitable<std::vector<call_sample>> run_load(http::client& http_client, load_options options,
                                                   std::vector<planned_call> plan)
{
    const auto executor = co_await asio::this_coro::executor;
    run_state state{http_client, std::move(options), std::move(plan), {}, runtime_clock::now(), 0};
    for (const planned_call& call : state.plan)
        state.samples.push_back(make_sample(call));
    timer wait_timer{executor};
    boost::system::error_code ignored;
    for (std::size_t i = 0; i < state.plan.size(); ++i) {
        const std::chrono::duration<double> arrival{state.plan[i].at_s};
        wait_timer.expires_at(state.started + std::chrono::duration_cast<runtime_clock::duration>(arrival));
        co_await wait_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        ++state.open_calls;
        asio::co_spawn(executor, send_call(state, i), asio::detached);
    }
    while (state.open_calls > 0) {
        wait_timer.expires_after(std::chrono::milliseconds{10});
        co_await wait_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return std::move(state.samples);
}

} // namespace radishstep::load
