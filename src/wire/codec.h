#pragma once

#include <string>
#include <string_view>

#include "base/error.h"

namespace radishstep::wire {

class Message;
class Gossip;
class LoadReport;

/// Returns the Thrift compact encoding of a value.
std::string encode(const Message& message);
std::string encode(const Gossip& gossip);
std::string encode(const LoadReport& report);

/// Returns the decoded value, or a protocol error if `bytes` are malformed.
result<Message> decode_message(std::string_view bytes);
result<Gossip> decode_gossip(std::string_view bytes);
result<LoadReport> decode_load_report(std::string_view bytes);

} // namespace radishstep::wire
