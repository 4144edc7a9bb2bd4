#ifndef BLUEBELLSPOKE_MODEL_SHARE_KIND_HPP
#define BLUEBELLSPOKE_MODEL_SHARE_KIND_HPP

#include <cstdint>

namespace bluebellspoke
{

/// The limits of the whole fleet that daemons have shares of.
enum class share_kind : std::uint8_t
{
    rate,        ///< Of a workspace; units of its burst.
    slots,       ///< Of an endpoint.
    connections, ///< Of an endpoint.
};

inline constexpr std::uint8_t share_kinds = 3;

}

#endif
