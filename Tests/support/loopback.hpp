#ifndef BLUEBELLSPOKE_SUPPORT_LOOPBACK_HPP
#define BLUEBELLSPOKE_SUPPORT_LOOPBACK_HPP

#include <string>

#include <model/address.hpp>

namespace bluebellspoke::support
{

/// A loopback IP number that is this test process's own, so that tests which
/// run side by side never take each other's ports.
const std::string& test_host();

/// An address on test_host() that was not given out before.
address free_address();

}

#endif
