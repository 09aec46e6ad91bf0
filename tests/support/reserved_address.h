#pragma once

#include <string>

namespace radishstep::testing {

/// Reserves a port on loopback. While this object lives, the system assigns the port to no other process, even
/// when nothing listens on it. A process that is given the address can listen on it with SO_REUSEADDR.
class reserved_address
{
public:
    /// Reserves an unused port; throws std::system_error when there is none.
    reserved_address();
    ~reserved_address();
    reserved_address(reserved_address&& other) noexcept;
    reserved_address& operator=(reserved_address&& other) noexcept;
    reserved_address(const reserved_address&) = delete;
    reserved_address& operator=(const reserved_address&) = delete;

    /// Returns the address as "IP:port".
    std::string text() const;

    int port() const { return this->number; }

private:
    void release();

    int socket = -1;
    int number = 0;
};

} // namespace radishstep::testing
