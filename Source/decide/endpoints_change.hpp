#ifndef BLUEBELLSPOKE_DECIDE_ENDPOINTS_CHANGE_HPP
#define BLUEBELLSPOKE_DECIDE_ENDPOINTS_CHANGE_HPP

#include <cstdint>
#include <span>

#include <decide/settings_tree.hpp>

namespace bluebellspoke
{

enum class endpoints_change : std::uint8_t
{
    none,      ///< The same endpoints, whatever else is said of them.
    safe,      ///< Any majority before shares an endpoint with any after.
    too_large, ///< Two majorities could pass each other by.
};

/// What a change does to the majorities of a database group. A group's first
/// endpoints, and its end, concern no majority that has acknowledged anything.
endpoints_change judge_change(std::span<const endpoint_setting> before,
                              std::span<const endpoint_setting> after);

}

#endif
