#ifndef BLUEBELLSPOKE_CTL_ADMIN_CALL_HPP
#define BLUEBELLSPOKE_CTL_ADMIN_CALL_HPP

#include <optional>
#include <string>

#include <model/address.hpp>
#include <task/loop.hpp>

namespace bluebellspoke
{

/// GET on a daemon's admin address. Absent: no answer, or not a good one.
std::optional<std::string> call_admin(loop& l, const address& admin,
                                      const std::string& path);

}

#endif
