#include "http/call_errors.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>

#include "base/metrics.h"

namespace radishstep::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

bool is_too_long(const error_code& failure)
{
    return failure == beast::http::error::header_limit || failure == beast::http::error::body_limit ||
           failure == beast::http::error::buffer_overflow;
}

/// Returns whether the bytes of a response are malformed, rather than its connection has ended too early.
bool is_malformed(const error_code& failure)
{
    using beast::http::error;
    return failure.category() == make_error_code(error::bad_field).category() && failure != error::end_of_stream &&
           failure != error::partial_message;
}

} // namespace

tl::unexpected<error> to_call_error(const error_code& failure)
{
    if (failure == beast::error::timeout)
        return fail(error_kind::timed_out, "the endpoint did not respond in time", "see the endpoint's own log");
    if (is_too_long(failure)) {
        count("radishstep_http_responses_too_long_total");
        return fail(error_kind::protocol, "the response is too long: " + failure.message(),
                    "see the endpoint's own log");
    }
    if (is_malformed(failure))
        return fail_invalid_response("malformed", "it is malformed, " + failure.message());
    return fail(error_kind::connection_lost, failure.message(), "see the endpoint's own log");
}

tl::unexpected<error> to_connect_error(const std::string& address, const error_code& failure)
{
    const bool is_refused = failure == asio::error::connection_refused;
    return fail(is_refused ? error_kind::connection_refused : error_kind::not_sent,
                "cannot reach " + address + ": " + failure.message(),
                "start the endpoint or remove it from the configuration");
}

tl::unexpected<error> fail_invalid_response(std::string_view reason, const std::string& detail)
{
    count("radishstep_http_responses_invalid_total", {{"reason", std::string{reason}}});
    return fail(error_kind::protocol, "the response is invalid: " + detail, "see the endpoint's own log");
}

} // namespace radishstep::http
