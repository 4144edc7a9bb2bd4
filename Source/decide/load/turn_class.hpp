#ifndef BLUEBELLSPOKE_DECIDE_LOAD_TURN_CLASS_HPP
#define BLUEBELLSPOKE_DECIDE_LOAD_TURN_CLASS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace bluebellspoke
{

/// Which endpoints of a group can run a statement.
enum class turn_kind : std::uint8_t
{
    any,          ///< Not told apart: no route has a priority.
    primary_only, ///< Before reads, which have other endpoints too.
    reads,
};

inline constexpr std::size_t turn_kind_count = 3;

constexpr std::string_view to_string(turn_kind kind) noexcept
{
    switch (kind)
    {
    case turn_kind::primary_only:
        return "primary only";
    case turn_kind::reads:
        return "reads";
    case turn_kind::any:
        break;
    }
    return "any";
}

/// Statements that wait in one line, in the order of the lines.
struct turn_class
{
    std::uint32_t m_priority = 0; ///< 0 is the most urgent.
    turn_kind m_kind = turn_kind::any;

    friend auto operator<=>(const turn_class&, const turn_class&) = default;
};

}

#endif
