#include "invalid_responses.h"

namespace radishstep::testing {

namespace {

const std::string gzip_magic = "\x1f\x8b";
const std::string last_chunk = "0\r\n\r\n";

std::string in_chunks(const std::string& body)
{
    return chunk(body) + last_chunk;
}

std::string coding_line(const std::string& value)
{
    return "Transfer-Encoding: " + value + "\r\n";
}

std::string length_line(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

/// Returns a form with status 200, these lines and an encoded body.
invalid_response with_coding(const std::string& name, const std::string& lines,
                        const std::function<std::string(const std::string&)>& encode)
{
    return {"coding " + name, [lines, encode](const engine_call& call, const std::string& body) {
                return raw_answer(call, "200", lines, encode(body));
            }};
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

std::vector<invalid_response> invalid_codings()
{
    const auto zipped = [](const std::string& body) { return gzip_magic + body; };
    const auto zipped_in_chunks = [](const std::string& body) { return in_chunks(gzip_magic + body); };
    const auto twice_in_chunks = [](const std::string& body) { return in_chunks(in_chunks(body)); };
    std::vector<invalid_response> forms{
        with_coding("unknown", coding_line("xchunked"), in_chunks),
        with_coding("gzip", coding_line("gzip"), zipped),
        with_coding("gzip with a length", coding_line("gzip") + "Content-Length: 4\r\n", zipped),
        with_coding("gzip in chunks", coding_line("gzip, chunked"), zipped_in_chunks),
        with_coding("gzip in chunks, a line each", coding_line("gzip") + coding_line("chunked"), zipped_in_chunks),
        with_coding("chunks in gzip", coding_line("chunked, gzip"), zipped),
        with_coding("chunks twice", coding_line("chunked, chunked"), twice_in_chunks),
        with_coding("chunks in quotes", coding_line("\"chunked\""), in_chunks),
        with_coding("identity", coding_line("identity"), in_chunks),
        with_coding("empty", coding_line(""), in_chunks),
    };
    const std::vector<invalid_response> lenient = lenient_codings();
    forms.insert(forms.end(), lenient.begin(), lenient.end());
    return forms;
}

std::vector<invalid_response> lenient_codings()
{
    return {
        with_coding("chunks with a parameter", coding_line("chunked;a=b"), in_chunks),
        with_coding("chunks and a word", coding_line("chunked x"), in_chunks),
        {"coding in HTTP/1.0",
         [](const engine_call& call, const std::string& body) {
             std::string text = raw_answer(call, "200", coding_line("chunked"), in_chunks(body));
             return text.replace(text.find("1.1"), 3, "1.0");
         }},
    };
}

std::vector<invalid_response> invalid_heads()
{
    std::vector<invalid_response> forms = invalid_statuses();
    const std::vector<invalid_response> codings = invalid_codings();
    forms.insert(forms.end(), codings.begin(), codings.end());
    return forms;
}

} // namespace radishstep::testing
