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

/// Returns a form with status 200 and these lines, which the length of the body follows.
invalid_response with_line(const std::string& name, const std::string& line)
{
    return {name, [line](const engine_call& call, const std::string& body) {
                return raw_answer(call, "200", line + "\r\n" + length_line(body), body);
            }};
}

/// Returns a form with status 200 and these lines, none of which is a sound length or coding.
invalid_response with_framing(const std::string& name, const std::string& lines)
{
    return {name, [lines](const engine_call& call, const std::string& body) {
                return raw_answer(call, "200", lines, in_chunks(body));
            }};
}

/// Returns a form with chunks whose bytes `spoil` makes from the body.
invalid_response with_chunks(const std::string& name, const std::function<std::string(const std::string&)>& spoil)
{
    return {name, [spoil](const engine_call& call, const std::string& body) {
                return raw_answer(call, "200", coding_line("chunked"), spoil(body));
            }};
}

struct odd_name
{
    std::string label;
    /// Stands after the name's first letter.
    std::string bytes;
};

std::vector<odd_name> odd_names()
{
    return {{"a blank", " "},
            {"a tab", "\t"},
            {"a control byte", "\x01"},
            {"DEL", "\x7f"},
            {"NUL", std::string(1, '\0')},
            {"a high byte", "\xe9"}};
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

std::vector<invalid_response> malformed_lines()
{
    std::vector<invalid_response> forms;
    for (const odd_name& odd : odd_names()) {
        forms.push_back(with_line("a name with " + odd.label, "X" + odd.bytes + "Name: y"));
        forms.push_back(with_framing("a length's name with " + odd.label,
                                     "C" + odd.bytes + "ontent-Length: 3\r\n" + coding_line("chunked")));
        forms.push_back(
            with_framing("a coding's name with " + odd.label, "T" + odd.bytes + "ransfer-Encoding: chunked\r\n"));
        forms.push_back(with_chunks("a trailer's name with " + odd.label, [odd](const std::string& body) {
            return chunk(body) + "0\r\nX" + odd.bytes + "Name: y\r\n\r\n";
        }));
    }
    const std::vector<invalid_response> others{
        with_line("a blank before the colon", "X-Name : y"),
        {"a blank before the first name",
         [](const engine_call& call, const std::string& body) {
             std::string text = raw_answer(call, "200", length_line(body), body);
             return text.insert(text.find('\n') + 1, " X-Name: y\r\n");
         }},
        with_line("no colon", "X-Name"),
        with_line("no name", ": y"),
        with_line("NUL in a value", "X-Name: y" + std::string(1, '\0') + "z"),
        with_line("a return in a value", "X-Name: y\rz"),
        with_framing("a length with a blank before the colon", "Content-Length : 3\r\n"),
        with_framing("a coding with a blank before the colon", "Transfer-Encoding : chunked\r\n"),
        with_framing("two lengths", "Content-Length: 3\r\nContent-Length: 4\r\n"),
        with_framing("two lengths in a line", "Content-Length: 3, 4\r\n"),
        with_framing("a length with a sign", "Content-Length: +3\r\n"),
        with_framing("a negative length", "Content-Length: -3\r\n"),
        with_framing("a length in letters", "Content-Length: three\r\n"),
        with_framing("an empty length", "Content-Length:\r\n"),
        with_framing("a length before chunks", "Content-Length: 3\r\n" + coding_line("chunked")),
        with_framing("a length after chunks", coding_line("chunked") + "Content-Length: 3\r\n"),
        with_framing("two lines with chunks", coding_line("chunked") + coding_line("chunked")),
        with_chunks("a chunk without size",
                    [](const std::string& body) { return "\r\n" + body + "\r\n" + last_chunk; }),
        with_chunks("a chunk with a malformed size",
                    [](const std::string& body) { return "xyz\r\n" + body + "\r\n" + last_chunk; }),
        with_chunks("a chunk with too small a size",
                    [](const std::string& body) { return "3\r\n" + body + "\r\n" + last_chunk; }),
        with_chunks("no last chunk", [](const std::string& body) { return chunk(body); }),
        with_chunks("no end after the last chunk", [](const std::string& body) { return chunk(body) + "0\r\n"; }),
    };
    forms.insert(forms.end(), others.begin(), others.end());
    return forms;
}

} // namespace radishstep::testing
