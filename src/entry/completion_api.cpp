#include "entry/completion_api.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "base/text.h"

namespace radishstep {

namespace {

using nlohmann::json;

/// Average number of UTF-8 bytes per token that estimates assume.
constexpr int bytes_per_token = 4;
constexpr int max_requested_tokens = 1'000'000;

result<std::string> chat_prompt(const json& messages)
{
    const std::string remedy = "send messages as [{\"role\": \"user\", \"content\": \"...\"}]";
    if (!messages.is_array() || messages.empty())
        return fail(error_kind::bad_request, "messages is not a list or is empty", remedy);
    std::string prompt;
    for (const json& message : messages) {
        const bool is_message = message.is_object() && message.contains("role") && message["role"].is_string() &&
                                message.contains("content") && message["content"].is_string();
        if (!is_message)
            return fail(error_kind::bad_request, "a message lacks a role or content", remedy);
        prompt += message["role"].get<std::string>() + ": " + message["content"].get<std::string>() + "\n";
    }
    return prompt;
}

result<std::string> plain_prompt(const json& body)
{
    if (!body.contains("prompt") || !body["prompt"].is_string() || body["prompt"].get<std::string>().empty())
        return fail(error_kind::bad_request, "prompt is missing or empty", "send prompt as a string that is not empty");
    return body["prompt"].get<std::string>();
}

json make_choice(const completion_identity& identity, const std::string& text, const json& finish_reason)
{
    json choice{{"index", 0}, {"finish_reason", finish_reason}};
    if (identity.is_chat)
        choice["delta"] = text.empty() ? json::object() : json{{"content", text}};
    else
        choice["text"] = text;
    return choice;
}

std::string make_event(const completion_identity& identity, const std::string& text, const json& finish_reason)
{
    const json body{{"id", identity.id},
                    {"object", identity.is_chat ? "chat.completion.chunk" : "text_completion"},
                    {"created", identity.created_s},
                    {"model", identity.model},
                    {"choices", json::array({make_choice(identity, text, finish_reason)})}};
    return "data: " + body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n\n";
}

} // namespace

result<completion_request> parse_completion(const std::string& body, bool is_chat)
{
    if (!is_utf8(body))
        return fail(error_kind::bad_text, "the body is not UTF-8", "encode the body as UTF-8");
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object())
        return fail(error_kind::bad_request, "the body is no JSON object", "send one JSON object");
    if (!parsed.contains("model") || !parsed["model"].is_string())
        return fail(error_kind::bad_request, "model is missing", "name a model of GET /v1/models");
    auto prompt = is_chat ? chat_prompt(parsed.value("messages", json{})) : plain_prompt(parsed);
    if (!prompt)
        return tl::unexpected{prompt.error()};
    completion_request request;
    request.model = parsed["model"].get<std::string>();
    request.prompt = std::move(*prompt);
    request.is_chat = is_chat;
    const json max_tokens = parsed.value("max_tokens", json(request.max_tokens));
    if (!max_tokens.is_number_integer() || max_tokens < 1 || max_tokens > max_requested_tokens)
        return fail(error_kind::bad_request, "max_tokens is not a whole number in range",
                    "send a whole number from 1 to 1000000");
    request.max_tokens = max_tokens.get<int>();
    const json stream = parsed.value("stream", json(false));
    if (!stream.is_boolean())
        return fail(error_kind::bad_request, "stream is not a boolean", "send true or false");
    request.is_stream = stream.get<bool>();
    const json priority = parsed.value("priority", json("interactive"));
    if (priority != "interactive" && priority != "batch")
        return fail(error_kind::bad_request, "priority is unknown", "send \"interactive\" or \"batch\"");
    request.is_batch = priority == "batch";
    return request;
}

int estimate_tokens(const std::string& text)
{
    return std::max(1, static_cast<int>(text.size()) / bytes_per_token);
}

std::string answer_json(const completion_identity& identity, const std::string& text, int prompt_tokens,
                        int answer_tokens)
{
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (identity.is_chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    const json body{{"id", identity.id},
                    {"object", identity.is_chat ? "chat.completion" : "text_completion"},
                    {"created", identity.created_s},
                    {"model", identity.model},
                    {"choices", json::array({choice})},
                    {"usage",
                     {{"prompt_tokens", prompt_tokens},
                      {"completion_tokens", answer_tokens},
                      {"total_tokens", prompt_tokens + answer_tokens}}}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

answer_event_formatter::answer_event_formatter(const completion_identity& identity)
{
    // Serializes a sample event and splits it at the placeholder: a character that JSON does not escape
    // and that no model name or request ID contains.
    const std::string placeholder = "\x7f";
    const std::string sample = make_event(identity, placeholder, nullptr);
    const std::string quoted_placeholder = "\"" + placeholder + "\"";
    const std::size_t placeholder_offset = sample.find(quoted_placeholder);
    this->event_start = sample.substr(0, placeholder_offset);
    this->event_end = sample.substr(placeholder_offset + quoted_placeholder.size());
}

std::string answer_event_formatter::format(const std::string& text) const
{
    return this->event_start + json(text).dump(-1, ' ', false, json::error_handler_t::replace) + this->event_end;
}

std::string final_events(const completion_identity& identity)
{
    return make_event(identity, "", "stop") + "data: [DONE]\n\n";
}

std::string refusal_json(const error& reason, bool may_have_run, const std::string& request_id)
{
    const json body{{"error",
                     {{"kind", to_string(reason.kind)},
                      {"ran", may_have_run ? "may_have_run" : "not_run"},
                      {"message", reason.message},
                      {"remedy", reason.remedy},
                      {"request", request_id}}}};
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

http::response refusal_response(const error& reason, bool may_have_run, const std::string& request_id,
                                std::int64_t retry_after_s)
{
    http::response response =
        http::json_response(http_status(reason.kind), refusal_json(reason, may_have_run, request_id));
    if (retry_after_s > 0)
        response.lines.push_back({"Retry-After", std::to_string(retry_after_s)});
    if (reason.kind == error_kind::unauthorized)
        response.lines.push_back({"WWW-Authenticate", "Bearer"});
    return response;
}

} // namespace radishstep
