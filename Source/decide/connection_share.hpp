#ifndef BLUEBELLSPOKE_DECIDE_CONNECTION_SHARE_HPP
#define BLUEBELLSPOKE_DECIDE_CONNECTION_SHARE_HPP

#include <cstdint>
#include <string_view>

#include <decide/share.hpp>

namespace bluebellspoke
{

/// Returns how many connections for statements one daemon may have open to an
/// endpoint. Those of all daemons, one monitor connection per daemon and one
/// connection for promotion orders stay within the endpoint's limit, also while
/// the fleet's membership changes.
std::uint32_t connection_share(const share_entitlement& entitlement,
                               std::uint32_t limit, std::string_view endpoint);

}

#endif
