#include "reserved_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace radishstep::testing {

namespace {

[[noreturn]] void fail_with_errno(const char* what)
{
    throw std::system_error{errno, std::generic_category(), what};
}

} // namespace

reserved_address::reserved_address() : socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    if (this->socket < 0)
        fail_with_errno("cannot open a socket");
    // The system does not assign the port of a socket that is bound but not listening as a free port. Processes
    // that bind to the port explicitly and allow address reuse can still listen on it.
    const int yes = 1;
    ::setsockopt(this->socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const generic = reinterpret_cast<sockaddr*>(&address);
    if (::bind(this->socket, generic, size) != 0 || ::getsockname(this->socket, generic, &size) != 0) {
        this->release();
        fail_with_errno("cannot reserve a port on loopback");
    }
    this->number = ntohs(address.sin_port);
}

reserved_address::~reserved_address()
{
    this->release();
}

reserved_address::reserved_address(reserved_address&& other) noexcept
    : socket(std::exchange(other.socket, -1)), number(other.number)
{
}

reserved_address& reserved_address::operator=(reserved_address&& other) noexcept
{
    this->release();
    this->socket = std::exchange(other.socket, -1);
    this->number = other.number;
    return *this;
}

std::string reserved_address::text() const
{
    return "127.0.0.1:" + std::to_string(this->number);
}

void reserved_address::release()
{
    if (this->socket >= 0)
        ::close(std::exchange(this->socket, -1));
}

} // namespace radishstep::testing
