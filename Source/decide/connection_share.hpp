#ifndef BLUEBELLSPOKE_DECIDE_CONNECTION_SHARE_HPP
#define BLUEBELLSPOKE_DECIDE_CONNECTION_SHARE_HPP

#include <cstdint>
#include <string_view>

#include <decide/share.hpp>

namespace bluebellspoke
{

/// How many connections for statements one daemon may hold to an endpoint.
/// Over all daemons these, a monitor each and one for a promotion's orders
/// stay within the endpoint's limit, also while the fleet changes.
std::uint32_t connection_share(const share_right& right, std::uint32_t limit,
                               std::string_view endpoint);

}

#endif
