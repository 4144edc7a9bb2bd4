#ifndef BLUEBELLSPOKE_DECIDE_ACKNOWLEDGEMENT_HPP
#define BLUEBELLSPOKE_DECIDE_ACKNOWLEDGEMENT_HPP

#include <cstddef>
#include <optional>
#include <span>

#include <decide/routing.hpp>
#include <model/log_position.hpp>

namespace bluebellspoke
{

/// Returns the smallest number of endpoints that is a majority of a group.
constexpr std::size_t majority(std::size_t endpoints) noexcept
{
    return endpoints / 2 + 1;
}

/// Returns true when a write that was committed at `position` may be
/// acknowledged: a majority of the group has received it in the term of
/// `position` and none of those endpoints is fenced at a later term.
/// docs/DESIGN.md shows why any later promotion then preserves the write.
bool is_confirmed(std::span<const endpoint_view> endpoints,
                  const log_position& position) noexcept;

/// Returns the log position that covers a write executed in `term`, taken from
/// the endpoint state reported with its response. Returns nullopt when the
/// endpoint has left that term since, because its log may lack the write.
std::optional<log_position> committed_position(const endpoint_state& state,
                                               term_number term) noexcept;

/// Returns true when an endpoint is fenced at a later term than that of
/// `position`, so that waiting can no longer confirm the write.
bool is_superseded(std::span<const endpoint_view> endpoints,
                   const log_position& position) noexcept;

}

#endif
