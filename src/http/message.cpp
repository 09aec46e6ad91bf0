#include "http/message.h"

#include <utility>

#include <boost/algorithm/string/predicate.hpp>

namespace radishstep::http {

std::string_view find_header(const headers& lines, std::string_view name)
{
    for (const header& line : lines) {
        if (boost::algorithm::iequals(line.name, name))
            return line.value;
    }
    return {};
}

std::string_view request::path() const
{
    return std::string_view{this->target}.substr(0, this->target.find('?'));
}

std::string_view request::query(std::string_view name) const
{
    std::string_view rest{this->target};
    const std::size_t mark = rest.find('?');
    if (mark == std::string_view::npos)
        return {};
    rest.remove_prefix(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view{} : pair.substr(equals + 1);
    }
    return {};
}

request get_request(std::string target)
{
    request built;
    built.target = std::move(target);
    return built;
}

request json_request(std::string method, std::string target, std::string body)
{
    request built;
    built.method = std::move(method);
    built.target = std::move(target);
    built.lines.push_back({"Content-Type", "application/json"});
    built.body = std::move(body);
    return built;
}

response text_response(unsigned status, std::string body)
{
    response answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

response event_stream_head()
{
    response head;
    head.lines.push_back({"Content-Type", "text/event-stream"});
    head.lines.push_back({"Cache-Control", "no-store"});
    return head;
}

response json_response(unsigned status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace radishstep::http
