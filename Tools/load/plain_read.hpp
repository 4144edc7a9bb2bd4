#ifndef BLUEBELLSPOKE_LOAD_PLAIN_READ_HPP
#define BLUEBELLSPOKE_LOAD_PLAIN_READ_HPP

#include <support/fleet.hpp>

namespace bluebellspoke::load
{

/// A read that costs an endpoint little.
inline constexpr const char* plain_read =
    "select value from bears where key = 'a'";

/// The read as a caller sends it to the fleet's first daemon, of a workspace
/// whose rate stands in nobody's way. Waits until the daemon serves it; throws
/// support::spawn_error when it doesn't.
http2_request make_proxied_read(const support::fleet& f);

}

#endif
