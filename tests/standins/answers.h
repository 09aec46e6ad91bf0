#pragma once

#include <string>

namespace radishstep::standin {

/// Returns the token at `index` of the answer that every stand-in engine gives to `prompt`.
std::string answer_token(const std::string& prompt, int index);

/// Returns how many tokens the answer to `prompt` has: "len:N " in the prompt says so.
int answer_length(const std::string& prompt, int max_tokens);

/// Returns the whole answer to `prompt`.
std::string whole_answer(const std::string& prompt, int max_tokens);

} // namespace radishstep::standin
