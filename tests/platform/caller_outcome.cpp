#include "caller_outcome.h"

#include <algorithm>

#include "invalid_responses.h"
#include "raw_caller.h"

namespace radishstep::testing {

namespace {

bool is_stream(const raw_request& request)
{
    return request.path.starts_with("/stream/") || request.path.starts_with("/resume/");
}

/// Returns the events that the caller of a stream has not seen yet.
std::string expected_stream(const raw_request& request)
{
    const int first = request.last_event_id.empty() ? 1 : std::stoi(request.last_event_id) + 1;
    std::string events;
    for (int number = first; number <= standin_engine::stream_events; ++number)
        events += stream_event(request.id, number);
    return events;
}

bool says_not_run(const std::string& status)
{
    return status == "503" || status == "429" || status == "421" || status == "408";
}

std::string describe(const std::string& fault, const std::string& received)
{
    return fault + ": '" + received.substr(0, 400) + "'; ";
}

} // namespace

std::string status_000(const engine_call& call)
{
    const bool has_events = call.kind == "decode";
    return invalid_statuses().front().make(call, has_events ? whole_stream(call.id) : invalid_body);
}

std::string to_bytes(const raw_request& request)
{
    http::headers lines{{"Host", "site.example"}, {"Attempt-Id", request.id}, {"Deadline-Ms", "8000"}};
    if (is_stream(request))
        lines.insert(lines.end(), {{"Model", "m"}, {"Token-Count", "3000,100"}, {"Prefix-Hash", "a:200,b:2800"}});
    if (!request.last_event_id.empty())
        lines.push_back({"Last-Event-Id", request.last_event_id});
    lines.insert(lines.end(), request.extra_headers.begin(), request.extra_headers.end());
    return request_bytes(request.method, request.path, lines, request.body);
}

std::string send_raw(platform_site& site, const raw_request& request, std::size_t host)
{
    return exchange_bytes(site.callers_address(host), to_bytes(request));
}

int runs_of(const platform_site& site, const std::string& id)
{
    int runs = 0;
    for (const auto& [name, engine] : site.engines) {
        runs += static_cast<int>(std::ranges::count_if(engine->calls(), [&id](const engine_call& call) {
            return call.id == id && call.has_run && call.kind != "prefill";
        }));
    }
    return runs;
}

std::string find_invalid_outcome(const platform_site& site, const std::string& received, const raw_request& request,
                                 bool may_break)
{
    if (received.empty())
        return may_break ? "" : "no response; ";
    if (received.find(invalid_body) != std::string::npos)
        return describe("the body of an invalid answer", received);
    const auto responses = parse_responses(received);
    if (responses.size() != 1)
        return describe(std::to_string(responses.size()) + " responses", received);
    const raw_response& response = responses.front();
    if (is_sound_answer(received, request))
        return "";
    if (response.status == "200" && !response.is_complete) {
        const bool is_part = is_stream(request) && expected_stream(request).starts_with(response.body);
        return is_part || may_break ? "" : describe("a part of another answer", received);
    }
    const bool is_own_refusal = response.is_complete && response.status >= "400" && response.status <= "599" &&
                                http::find_header(response.lines, "Server-Signature").empty() &&
                                (response.body.find("\"error\"") != std::string::npos || request.method == "HEAD");
    if (!is_own_refusal)
        return describe("neither an answer nor a refusal", received);
    if (says_not_run(response.status) && runs_of(site, request.id) > 0)
        return describe("\"not run\" after a run", received);
    return "";
}

bool is_sound_answer(const std::string& received, const raw_request& request)
{
    const auto responses = parse_responses(received);
    if (responses.size() != 1 || responses.front().status != "200" || !responses.front().is_complete)
        return false;
    const std::string& body = responses.front().body;
    return is_stream(request) ? body == expected_stream(request) : body.starts_with("whole answer of");
}

} // namespace radishstep::testing
