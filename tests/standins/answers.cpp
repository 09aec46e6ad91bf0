#include "answers.h"

#include <algorithm>

#include "base/hash.h"

namespace radishstep::standin {

std::string answer_token(const std::string& prompt, int index)
{
    constexpr std::uint64_t vocabulary = 9'973;
    return " t" + std::to_string(hash64(prompt, static_cast<std::uint64_t>(index)) % vocabulary);
}

int answer_length(const std::string& prompt, int max_tokens)
{
    const std::size_t mark = prompt.find("len:");
    constexpr int usual_length = 24;
    const int natural = mark == std::string::npos ? usual_length : std::atoi(prompt.c_str() + mark + 4);
    return std::min(natural, max_tokens);
}

std::string whole_answer(const std::string& prompt, int max_tokens)
{
    std::string text;
    for (int i = 0; i < answer_length(prompt, max_tokens); ++i)
        text += answer_token(prompt, i);
    return text;
}

} // namespace radishstep::standin
