#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace radishstep::http {

/// Has the kernel find out within about three seconds when the other side of a connection is gone
/// without a word, and sends small writes at once.
void detect_dead_peer(boost::asio::ip::tcp::socket& socket);

} // namespace radishstep::http
