#include "invalid_responses.h"

namespace radishstep::testing {

namespace {

std::string length_line(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

} // namespace

std::string raw_answer(const engine_call& call, const std::string& status, const std::string& lines,
                       const std::string& body)
{
    std::string text = "HTTP/1.1 " + status + " Stand-in\r\n";
    for (const http::header& line : engine_headers(call))
        text += line.name + ": " + line.value + "\r\n";
    return text + lines + "\r\n" + body;
}

std::vector<invalid_response> invalid_statuses()
{
    std::vector<invalid_response> forms;
    for (const char* status : {"000", "001", "099", "100", "101", "103", "199", "600", "799", "999"}) {
        forms.push_back({"status " + std::string{status}, [status](const engine_call& call, const std::string& body) {
                             return raw_answer(call, status, length_line(body), body);
                         }});
    }
    return forms;
}

} // namespace radishstep::testing
