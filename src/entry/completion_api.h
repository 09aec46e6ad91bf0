#pragma once

#include <cstdint>
#include <string>

#include "base/error.h"
#include "http/message.h"

namespace radishstep {

/// A completion or chat completion as a caller asked for it.
struct completion_request
{
    std::string model;
    std::string prompt;
    int max_tokens = 256;
    bool stream = false;
    bool chat = false;
    bool batch = false;

    bool operator==(const completion_request&) const = default;
};

/// What a caller gets besides the text.
struct completion_identity
{
    std::string id;
    std::string model;
    std::int64_t created_s = 0;
    bool chat = false;

    bool operator==(const completion_identity&) const = default;
};

/// Returns the request in the body of a call to /v1/completions or /v1/chat/completions.
result<completion_request> parse_completion(const std::string& body, bool chat);

/// Returns about how many tokens a text has.
int estimate_tokens(const std::string& text);

/// Returns the body of a whole answer.
std::string whole_answer_json(const completion_identity& identity, const std::string& text, int prompt_tokens,
                              int answer_tokens);

/// Makes the server-sent events of an answer's parts. All but the text is made once.
class part_formatter
{
public:
    explicit part_formatter(const completion_identity& identity);

    /// Returns the event of a part with this text.
    std::string event(const std::string& text) const;

private:
    std::string before;
    std::string after;
};

/// Returns the events that end an answer.
std::string end_events(const completion_identity& identity);

/// Returns the JSON body of a refusal: kind, whether the request ran, message, remedy.
std::string refusal_json(const error& reason, bool may_have_run, const std::string& request);

/// Returns the refusal as a response, with Retry-After where a retry makes sense.
http::response refusal_response(const error& reason, bool may_have_run, const std::string& request,
                                std::int64_t retry_after_s);

} // namespace radishstep
