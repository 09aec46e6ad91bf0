#pragma once

#include <atomic>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/runtime_clock.h"

namespace radishstep::testing {

/// What a proxy does to the bytes that pass it.
enum class proxy_fault {
    none,
    /// Each piece waits for 50 ms.
    delay,
    /// Connections are reset when bytes arrive.
    reset,
    /// What the endpoint sends is thrown away.
    one_way,
    /// Nothing passes, in either direction, and nothing is closed.
    silence,
};

/// A relay on loopback between a gateway and an endpoint or the store.
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
