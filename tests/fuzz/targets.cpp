#include "targets.h"

#include "base/event_log.h"
#include "base/text.h"
#include "config/config_document.h"
#include "config/config_reader.h"
#include "entry/completion_api.h"
#include "http/event_stream.h"
#include "keyvalue/claim_store.h"
#include "load/load_report.h"
#include "membership/member_wire.h"
#include "routing/permit_wire.h"
#include "wire/codec.h"
#include "wire/generated/radishstep_types.h"

namespace radishstep::testing {

namespace {

void parse_completions(std::string_view bytes)
{
    static_cast<void>(parse_completion(std::string{bytes}, false));
    static_cast<void>(parse_completion(std::string{bytes}, true));
}

void parse_config(std::string_view bytes)
{
    const config_read_result reading = read_config("s", {"base", std::string{bytes}}, {"overlay", "[pools.p]\n"});
    for (const config_finding& finding : reading.findings)
        static_cast<void>(describe(finding));
}

void parse_stored(std::string_view bytes)
{
    static_cast<void>(parse_config_document(std::string{bytes}));
    static_cast<void>(parse_claim(std::string{bytes}));
    static_cast<void>(from_json_lines(std::string{bytes}));
    static_cast<void>(load::samples_from_json(std::string{bytes}));
}

void parse_datagram(std::string_view bytes)
{
    if (const auto datagram = wire::decode_gossip(bytes))
        static_cast<void>(wire::from_wire(*datagram));
}

void parse_message(std::string_view bytes)
{
    const auto message = wire::decode_message(bytes);
    if (!message)
        return;
    if (message->__isset.permit_request)
        static_cast<void>(wire::from_wire(message->permit_request, "h/1"));
    if (message->__isset.reassert)
        static_cast<void>(wire::permits_from_wire(message->reassert, "h/1"));
}

void parse_stream(std::string_view bytes)
{
    http::event_stream_reader reader;
    static_cast<void>(reader.push(bytes.substr(0, bytes.size() / 2)));
    static_cast<void>(reader.push(bytes.substr(bytes.size() / 2)));
}

std::string sample_message()
{
    permit_request ask;
    ask.key = {"host-1:1:1", 1};
    wire::Message message;
    message.__set_reassert(wire::to_wire("cell", {{ask, "p1", "d1", true}}, {{7, 1}}));
    return wire::encode(message);
}

std::string sample_datagram()
{
    gossip_message message;
    message.sender.host = "host-1";
    message.updates.push_back(message.sender);
    return wire::encode(wire::to_wire(message));
}

} // namespace

std::vector<fuzz_target> fuzz_targets()
{
    return {
        {"completion",
         parse_completions,
         {R"({"model":"m","prompt":"p","max_tokens":5,"stream":true})",
          R"({"model":"m","messages":[{"role":"user","content":"hi"}]})"}},
        {"config",
         parse_config,
         {"region = \"r\"\nzones = [\"z\"]\n[pools.p]\nmodels = [\"m\"]\n"
          "[pools.p.endpoints.e]\nzone = \"z\"\nrole = \"decode\"\naddress = \"1.2.3.4:5\"\n"}},
        {"stored",
         parse_stored,
         {to_json(config_document{1, "a", "n", 2, "x = 1", {{"s", ""}}}),
          to_json(claim_record{"o", "f", claim_status::answered, 200, "t", "b"})}},
        {"datagram", parse_datagram, {sample_datagram()}},
        {"message", parse_message, {sample_message()}},
        {"stream", parse_stream, {"id: 1\ndata: \"a\"\n\nevent: end\ndata: {\"tokens\":1}\n\n"}},
    };
}

} // namespace radishstep::testing
