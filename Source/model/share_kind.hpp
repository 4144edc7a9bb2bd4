#ifndef BLUEBELLSPOKE_MODEL_SHARE_KIND_HPP
#define BLUEBELLSPOKE_MODEL_SHARE_KIND_HPP

#include <cstdint>

namespace bluebellspoke
{

/// The fleet-wide limits that are divided among the daemons.
enum class share_kind : std::uint8_t
{
    rate,        ///< Rate of a workspace, in units of its burst.
    slots,       ///< Concurrent requests to an endpoint.
    connections, ///< Connections to an endpoint.
};

inline constexpr std::uint8_t share_kind_count = 3;

}

#endif
