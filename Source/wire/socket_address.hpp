#ifndef BLUEBELLSPOKE_WIRE_SOCKET_ADDRESS_HPP
#define BLUEBELLSPOKE_WIRE_SOCKET_ADDRESS_HPP

#include <sys/socket.h>

#include <model/address.hpp>

namespace bluebellspoke
{

/// An address in the form the operating system's calls take.
struct socket_address
{
    sockaddr_storage m_storage{};
    socklen_t m_length = 0;
};

/// Throws address_error.
socket_address to_socket_address(const address& a);
/// The address a bound socket got; for listeners on port 0.
address local_address(int descriptor);

}

#endif
