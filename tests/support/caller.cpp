#include "caller.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "http/event_stream.h"

namespace radishstep::testing {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::seconds call_idle_timeout{60};

void parse_error(call_outcome& outcome, const std::string& body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json["error"].is_object())
        return;
    outcome.error_kind = json["error"].value("kind", "");
    outcome.ran = json["error"].value("ran", "");
    outcome.request = json["error"].value("request", "");
}

void apply_event(call_outcome& outcome, const http::server_sent_event& event, time_point started, int& tokens)
{
    if (event.event == "error") {
        parse_error(outcome, event.data);
        return;
    }
    if (event.data == "[DONE]") {
        outcome.whole = true;
        return;
    }
    const auto json = nlohmann::json::parse(event.data, nullptr, false);
    if (!json.is_object())
        return;
    const std::string part = json["choices"][0].value("text", "");
    outcome.request = json.value("id", "");
    if (part.empty())
        return;
    if (tokens++ == 0)
        outcome.first_token_ms = to_ms(runtime_clock::now() - started);
    outcome.text += part;
}

} // namespace

caller::caller()
    : work(asio::make_work_guard(this->context)), calls(this->context.get_executor()),
      thread([this] { this->context.run(); })
{
}

caller::~caller()
{
    this->context.stop();
    this->thread.join();
}

asio::awaitable<call_outcome> caller::complete(completion_call completion)
{
    const time_point started = runtime_clock::now();
    nlohmann::json body;
    body["model"] = completion.model;
    body["prompt"] = completion.prompt;
    body["max_tokens"] = completion.max_tokens;
    body["stream"] = completion.stream;
    http::request http_request = http::json_request("POST", "/v1/completions", body.dump());
    http_request.lines.push_back({"Authorization", "Bearer " + completion.key});
    http_request.lines.push_back({"Content-Type", "application/json"});
    http::call_options options;
    options.idle_timeout = call_idle_timeout;
    call_outcome outcome;
    auto stream = co_await this->calls.open(completion.address, std::move(http_request), options);
    if (!stream) {
        outcome.connection_broke = true;
        co_return outcome;
    }
    outcome.status = (*stream)->head().status;
    const bool is_stream = http::find_header((*stream)->head().lines, "Content-Type") == "text/event-stream";
    http::event_stream_reader reader;
    int tokens = 0;
    while (true) {
        const auto part = co_await (*stream)->next();
        if (!part || part->empty()) {
            outcome.connection_broke = !part;
            break;
        }
        outcome.body += *part;
        if (!is_stream)
            continue;
        for (const http::server_sent_event& event : reader.push(*part))
            apply_event(outcome, event, started, tokens);
        if (completion.disconnect_after_tokens > 0 && tokens >= completion.disconnect_after_tokens)
            co_return outcome;
    }
    if (!is_stream) {
        const auto json = nlohmann::json::parse(outcome.body, nullptr, false);
        parse_error(outcome, outcome.body);
        outcome.whole = outcome.status == 200 && json.is_object();
        if (outcome.whole) {
            outcome.text = json["choices"][0].value("text", "");
            outcome.request = json.value("id", "");
        }
    }
    outcome.total_ms = to_ms(runtime_clock::now() - started);
    co_return outcome;
}

asio::awaitable<call_outcome> caller::plain(std::string address, http::request http_request)
{
    const time_point started = runtime_clock::now();
    http::call_options options;
    options.idle_timeout = call_idle_timeout;
    const auto answer = co_await this->calls.call(std::move(address), std::move(http_request), options);
    call_outcome outcome;
    if (!answer) {
        outcome.connection_broke = true;
        co_return outcome;
    }
    outcome.status = answer->status;
    outcome.body = answer->body;
    outcome.request = http::find_header(answer->lines, "X-Request-Id");
    parse_error(outcome, answer->body);
    outcome.whole = outcome.error_kind.empty();
    outcome.total_ms = to_ms(runtime_clock::now() - started);
    co_return outcome;
}

std::string caller::get(const std::string& address, const std::string& target)
{
    http::request http_request = http::get_request(target);
    return this->wait(this->plain(address, std::move(http_request))).body;
}

void caller::send(const std::string& address, const std::string& method, const std::string& target,
                  const std::string& body)
{
    http::request http_request{method, target, {}, body};
    this->wait(this->plain(address, std::move(http_request)));
}

} // namespace radishstep::testing
