#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace radishstep::http {

/// Sets TCP keep-alive and user timeout so that the kernel reports a peer that vanished without closing the
/// connection within about three seconds. Also sets TCP_NODELAY, so that small writes are sent at once.
void enable_dead_peer_detection(boost::asio::ip::tcp::socket& socket);

} // namespace radishstep::http
