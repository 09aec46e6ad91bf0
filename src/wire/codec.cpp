#include "wire/codec.h"

#include <memory>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "wire/generated/radishstep_types.h"

namespace radishstep::wire {

namespace {

using apache::thrift::TConfiguration;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// As large as a frame may be, see frame_link::max_frame_bytes.
constexpr int max_message_bytes = 8 * 1024 * 1024;
constexpr int max_nesting_levels = 16;

std::shared_ptr<TConfiguration> make_decode_limits()
{
    return std::make_shared<TConfiguration>(max_message_bytes, max_message_bytes, max_nesting_levels);
}

template <typename Value>
std::string encode_value(const Value& value)
{
    const auto buffer = std::make_shared<TMemoryBuffer>();
    TCompactProtocolT<TMemoryBuffer> protocol{buffer};
    value.write(&protocol);
    return buffer->getBufferAsString();
}

template <typename Value>
result<Value> decode_value(std::string_view bytes)
{
    // In OBSERVE mode the buffer never writes, but its constructor requires a non-const pointer.
    auto* start = reinterpret_cast<std::uint8_t*>(const_cast<char*>(bytes.data()));
    const auto size = static_cast<std::uint32_t>(bytes.size());
    const auto buffer = std::make_shared<TMemoryBuffer>(start, size, TMemoryBuffer::OBSERVE, make_decode_limits());
    const auto max_size = static_cast<int>(size);
    // No string or container can be longer than the message.
    TCompactProtocolT<TMemoryBuffer> protocol{buffer, max_size, max_size};
    Value value;
    try {
        value.read(&protocol);
    } catch (const std::exception& failure) {
        return fail(error_kind::protocol, std::string{"malformed message: "} + failure.what(),
                    "run the same version on all hosts");
    }
    return value;
}

} // namespace

std::string encode(const Message& message)
{
    return encode_value(message);
}

std::string encode(const Gossip& gossip)
{
    return encode_value(gossip);
}

result<Message> decode_message(std::string_view bytes)
{
    return decode_value<Message>(bytes);
}

result<Gossip> decode_gossip(std::string_view bytes)
{
    return decode_value<Gossip>(bytes);
}

std::string encode(const LoadReport& report)
{
    return encode_value(report);
}

result<LoadReport> decode_load_report(std::string_view bytes)
{
    return decode_value<LoadReport>(bytes);
}

} // namespace radishstep::wire
