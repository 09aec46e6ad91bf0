#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "base/pause.h"
#include "http/server.h"

namespace radishstep::standin {

/// Serves `handler` on `address` until the process is told to stop; returns the exit code.
int serve(boost::asio::io_context& context, const std::string& address, http::request_handler handler);

/// Returns a JSON response.
http::response json_answer(unsigned status, const nlohmann::json& body);

/// Returns the JSON object in a body, empty when there is none.
nlohmann::json parse_body(const http::request& asked);

/// Appends a line to a file at once, so that it outlives the process; does nothing without a path.
void append_line(const std::string& path, const std::string& line);

/// Returns the value of "--name=value" among the arguments.
std::string flag(int argc, char** argv, const std::string& name, const std::string& fallback);
int flag(int argc, char** argv, const std::string& name, int fallback);

} // namespace radishstep::standin
