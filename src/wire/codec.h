#pragma once

#include <string>
#include <string_view>

#include "base/error.h"

namespace radishstep::wire {

class Message;
class Gossip;
class LoadReport;

/// Returns the Thrift compact form of `message`.
std::string encode(const Message& message);
std::string encode(const Gossip& gossip);
std::string encode(const LoadReport& report);

/// Returns the message in `bytes`, or a protocol error for bytes that are none.
result<Message> decode_message(std::string_view bytes);
result<Gossip> decode_gossip(std::string_view bytes);
result<LoadReport> decode_load_report(std::string_view bytes);

} // namespace radishstep::wire
