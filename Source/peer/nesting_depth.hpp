#ifndef BLUEBELLSPOKE_PEER_NESTING_DEPTH_HPP
#define BLUEBELLSPOKE_PEER_NESTING_DEPTH_HPP

#include <cstddef>
#include <string_view>

namespace bluebellspoke
{

/// Returns true if arrays and objects in the CBOR bytes are nested more deeply
/// than `levels`. Reads up to the first error, as a decoder would.
bool is_nested_beyond(std::string_view cbor, std::size_t levels);

}

#endif
