#include "http/dead_peer.h"

#include <netinet/tcp.h>

#include <boost/asio/detail/socket_option.hpp>

namespace radishstep::http {

namespace asio = boost::asio;

namespace {

template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Seconds of silence before the first probe, and between probes.
constexpr int probe_seconds = 1;
/// Unanswered probes after which the connection is given up.
constexpr int probes = 2;
/// How long sent bytes may stay unacknowledged: as long as the probes take together.
constexpr int unacknowledged_ms = 3'000;

} // namespace

void detect_dead_peer(asio::ip::tcp::socket& socket)
{
    // An option that the system lacks only makes the loss show later, by the call's own time limit.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(tcp_option<TCP_KEEPIDLE>{probe_seconds}, ignored);
    socket.set_option(tcp_option<TCP_KEEPINTVL>{probe_seconds}, ignored);
    socket.set_option(tcp_option<TCP_KEEPCNT>{probes}, ignored);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>{unacknowledged_ms}, ignored);
}

} // namespace radishstep::http
