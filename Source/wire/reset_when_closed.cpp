#include <wire/reset_when_closed.hpp>

#include <sys/socket.h>

namespace bluebellspoke
{

void reset_when_closed(int socket) noexcept
{
    const linger at_once{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

}
