#ifndef BLUEBELLSPOKE_DECIDE_ENDPOINTS_CHANGE_HPP
#define BLUEBELLSPOKE_DECIDE_ENDPOINTS_CHANGE_HPP

#include <cstdint>
#include <span>

#include <decide/settings_tree.hpp>

namespace bluebellspoke
{

/// Effect of a change of a group's endpoints on its majorities.
enum class endpoints_change : std::uint8_t
{
    none,      ///< Same names and addresses; the rest may differ.
    safe,      ///< Any majority before intersects with any after.
    too_large, ///< A majority before and one after may be disjoint.
};

/// Classifies a change of a database group. Adding the first endpoints or
/// removing all of them is `none`, since it concerns no majority that has
/// acknowledged a write.
endpoints_change classify_change(std::span<const endpoint_setting> before,
                                 std::span<const endpoint_setting> after);

}

#endif
