#ifndef BLUEBELLSPOKE_WIRE_RESET_WHEN_CLOSED_HPP
#define BLUEBELLSPOKE_WIRE_RESET_WHEN_CLOSED_HPP

namespace bluebellspoke
{

/// Makes the kernel reset the connection when the socket is closed. Bytes that
/// the peer hasn't received yet are dropped, not sent later.
void reset_when_closed(int socket) noexcept;

}

#endif
