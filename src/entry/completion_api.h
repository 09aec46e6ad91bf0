#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"
#include "http/message.h"

namespace radishstep {

/// A caller's request for a completion or chat completion.
struct completion_request
{
    std::string model;
    std::string prompt;
    int max_tokens = 256;
    bool is_stream = false;
    bool is_chat = false;
    bool is_batch = false;

    bool operator==(const completion_request&) const = default;
};

/// The fields that every answer object of one request repeats beside its text.
struct completion_identity
{
    std::string id;
    std::string model;
    std::int64_t created_s = 0;
    bool is_chat = false;

    bool operator==(const completion_identity&) const = default;
};

/// Returns the request parsed from the body of a call to /v1/completions or /v1/chat/completions, or the error
/// to refuse it with.
result<completion_request> parse_completion(const std::string& body, bool is_chat);

/// Returns an estimate of the number of tokens in a text, at least 1.
int estimate_tokens(const std::string& text);

/// Returns the JSON body of an answer that is not streamed.
std::string answer_json(const completion_identity& identity, const std::string& text, int prompt_tokens,
                        int answer_tokens);

/// Formats the server-sent events of a streamed answer. Everything around the text is serialized only once.
class answer_event_formatter
{
public:
    explicit answer_event_formatter(const completion_identity& identity);

    /// Returns the event that carries the text.
    std::string format(const std::string& text) const;

private:
    std::string event_start;
    std::string event_end;
};

/// Returns the events that end a streamed answer.
std::string final_events(const completion_identity& identity);

/// Returns the JSON body of a refusal: error kind, whether the request may have run, message, remedy and request ID.
std::string refusal_json(const error& reason, bool may_have_run, const std::string& request_id);

/// Returns the refusal as a response, with a Retry-After header if `retry_after_s` is positive.
http::response refusal_response(const error& reason, bool may_have_run, const std::string& request_id,
                                std::int64_t retry_after_s);

} // namespace radishstep
