#include "http/dead_peer.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace radishstep::http {

namespace asio = boost::asio;

namespace {

template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Idle time before the first keep-alive probe, and between probes.
constexpr int probe_interval_s = 1;
/// Unanswered probes after which the kernel drops the connection.
constexpr int max_unanswered_probes = 2;
/// How long sent bytes may stay unacknowledged. Equals the time that the probes take, so that a connection with
/// data in flight is dropped as soon as an idle one.
constexpr int unacknowledged_data_timeout_ms = 3'000;

} // namespace

void enable_dead_peer_detection(asio::ip::tcp::socket& socket)
{
    // Where the system lacks an option, the call's own timeout detects the lost peer later.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(tcp_option<TCP_KEEPIDLE>{probe_interval_s}, ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>{probe_interval_s}, ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>{max_unanswered_probes}, ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>{unacknowledged_data_timeout_ms}, ignored);
}

} // namespace radishstep::http
