#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"

namespace radishstep::http {

/// What a new connection shows of the process at an address.
enum class connection_state {
    /// No process listens there.
    refused,
    /// It was accepted, and ended by the peer.
    ended,
    /// It was accepted and stayed open.
    open,
    /// No answer came in time, or the address cannot be used.
    unreachable,
};

/// Opens a connection to `address` ("IP:port"), sends nothing, and closes it after `hold_time` unless the peer ends it
/// earlier.
boost::asio::awaitable<connection_state> check_connection(std::string address, milliseconds connect_timeout,
                                                          milliseconds hold_time);

} // namespace radishstep::http
