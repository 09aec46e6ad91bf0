#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "base/error.h"
#include "base/settings.h"
#include "http/client.h"
#include "keyvalue/kv_client.h"

namespace radishstep {

/// What radishctl's commands share.
struct command_context
{
    command_context(boost::asio::io_context& io, const settings_reader& settings, const std::string& key_value,
                    const std::string& broker);

    /// Returns the body of a page of an operators' port, or an error.
    boost::asio::awaitable<result<std::string>> get(std::string address, std::string target);

    boost::asio::io_context& io;
    const settings_reader& settings;
    std::string broker;
    http::client calls;
    kv_client store;
};

/// Exit codes of radishctl.
inline constexpr int exit_done = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_conflict = 3;

/// Prints an error and returns exit_failed.
int report(const error& failure);

} // namespace radishstep
