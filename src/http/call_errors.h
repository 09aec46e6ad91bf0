#pragma once

#include <string>
#include <string_view>

#include <boost/system/error_code.hpp>

#include "base/error.h"

namespace radishstep::http {

/// Returns the error of a call whose request was sent, at least in part: `timed_out`, `protocol` for a response that is
/// too long or malformed, `connection_lost` for a connection that ended too early. Counts long and malformed responses.
tl::unexpected<error> to_call_error(const boost::system::error_code& failure);

/// Returns the error of a call that found no connection: `connection_refused` or `not_sent`.
tl::unexpected<error> to_connect_error(const std::string& address, const boost::system::error_code& failure);

/// Counts an invalid response by `reason`, the value of a metric's label, and returns the `protocol` error of its call.
/// The endpoint may have run the request.
tl::unexpected<error> fail_invalid_response(std::string_view reason, const std::string& detail);

} // namespace radishstep::http
