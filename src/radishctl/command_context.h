#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/error.h"
#include "base/settings.h"
#include "http/client.h"
#include "keyvalue/kv_client.h"

namespace radishstep {

/// The settings and clients that all commands of radishctl share.
struct command_context
{
    command_context(boost::asio::io_context& io, const settings_reader& settings, const std::string& key_value_address,
                    const std::string& broker_address);

    /// Returns the body of a page of the admin server at `address`, or an error unless it answers 200.
    boost::asio::awaitable<result<std::string>> get_page(std::string address, std::string target);

    boost::asio::io_context& io;
    const settings_reader& settings;
    std::string broker_address;
    http::client http_client;
    kv_client key_value_client;
};

/// Exit codes of radishctl.
inline constexpr int exit_done = 0;
inline constexpr int exit_failed = 1;
/// Another operator's change was accepted first.
inline constexpr int exit_conflict = 3;

/// Prints an error on the standard error stream and returns exit_failed.
int report_error(const error& failure);

} // namespace radishstep
