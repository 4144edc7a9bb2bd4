#ifndef BLUEBELLSPOKE_DECIDE_ACKNOWLEDGEMENT_HPP
#define BLUEBELLSPOKE_DECIDE_ACKNOWLEDGEMENT_HPP

#include <cstddef>
#include <optional>
#include <span>

#include <decide/routing.hpp>
#include <model/log_position.hpp>

namespace bluebellspoke
{

/// The number of endpoints that make a majority of a group.
constexpr std::size_t majority(std::size_t endpoints) noexcept
{
    return endpoints / 2 + 1;
}

/// True when a write that was committed at `position` may be acknowledged: a
/// majority of the group holds it in that very term, and none of these has
/// been fenced by a later one. docs/DESIGN.md shows why no promotion can then
/// miss it.
bool is_confirmed(std::span<const endpoint_view> endpoints,
                  const log_position& position) noexcept;

/// Where a write that ran in `term` stands, from the state that came with its
/// answer; nothing when the endpoint has left that term since: what it holds
/// now may lack the write.
std::optional<log_position> committed_position(const endpoint_state& state,
                                               term_number term) noexcept;

/// True when some endpoint is fenced past the position's term, so that the
/// write can no longer be confirmed by waiting.
bool is_superseded(std::span<const endpoint_view> endpoints,
                   const log_position& position) noexcept;

}

#endif
