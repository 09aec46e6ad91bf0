#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/runtime_clock.h"

namespace radishstep::testing {

/// The fault that a proxy applies to the connections through it.
enum class proxy_fault {
    none,
    /// Each chunk is forwarded 50 ms late.
    delay,
    /// A connection is reset when bytes arrive on it.
    reset,
    /// Bytes from the endpoint are discarded; bytes to it pass.
    one_way,
    /// Nothing is forwarded in either direction, and connections stay open.
    stall,
};

/// A TCP proxy on loopback between a gateway and an endpoint, with faults that can be switched at any time.
class fault_proxy
{
public:
    fault_proxy(const boost::asio::any_io_executor& executor, std::string target);

    std::string address() const;
    void set_fault(proxy_fault next) { *this->fault = next; }

private:
    using socket_ptr = std::shared_ptr<boost::asio::ip::tcp::socket>;
    using shared_fault = std::shared_ptr<std::atomic<proxy_fault>>;

    boost::asio::awaitable<void> accept();
    static boost::asio::awaitable<void> relay(socket_ptr from, socket_ptr to, shared_fault fault, bool is_answer);

    boost::asio::ip::tcp::acceptor listener;
    std::string target;
    shared_fault fault = std::make_shared<std::atomic<proxy_fault>>(proxy_fault::none);
};

} // namespace radishstep::testing
