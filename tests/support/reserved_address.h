#pragma once

#include <string>

namespace radishstep::testing {

/// An address on loopback that stays its owner's: no other process of the machine is given its port while
/// the reservation lives, also while nobody listens there. A process that is told the address can listen
/// there, as long as it allows the address's reuse.
class reserved_address
{
public:
    /// Reserves a port that nobody uses; throws std::system_error when there is none.
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
