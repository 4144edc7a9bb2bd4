#ifndef BLUEBELLSPOKE_DECIDE_ROUTING_HPP
#define BLUEBELLSPOKE_DECIDE_ROUTING_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include <model/endpoint_state.hpp>
#include <model/refusal.hpp>
#include <model/statement.hpp>

namespace bluebellspoke
{

/// An endpoint as routing sees it.
struct endpoint_view
{
    std::optional<endpoint_state> m_state; ///< Absent: not heard from.
    bool m_admits = false; ///< Takes new work: reachable, not leaving, not
                           ///< in a zone that was taken out.
    bool m_local = false;  ///< In this process's availability zone.
    std::uint32_t m_running = 0; ///< Statements from this process.
    std::uint32_t m_slots = 0;   ///< This process's share.
};

/// What a statement asks of the endpoint that runs it.
struct routing_need
{
    statement_kind m_kind = statement_kind::read;
    std::optional<log_position> m_session; ///< Must be visible; absent: none.
    std::optional<duration> m_max_age;     ///< Accepts data this old.
    /// Until then the read waits for a replica that has yet to catch up.
    std::optional<time_point> m_replica_until;
    bool m_primary_only = false; ///< In a transaction, or a replica was late.
};

enum class route_outcome : std::uint8_t
{
    run,        ///< On m_index now.
    wait_slot,  ///< An endpoint fits but its slots are taken.
    wait_state, ///< Nothing fits yet; a replica may catch up.
    none,       ///< Nothing fits.
};

struct route
{
    route_outcome m_outcome = route_outcome::none;
    std::size_t m_index = 0;
};

/// True when reads there see everything the session has seen.
bool sees(const endpoint_state& state, const log_position& mark) noexcept;

/// An upper bound of the age of what reads at the endpoint see at `now`.
std::optional<duration> age_bound(const endpoint_state& state,
                                  time_point now) noexcept;

/// True when reads at a primary that says this see what the session has seen.
bool leads_past(const endpoint_state& state, const log_position& mark) noexcept;

/// When a majority last said that it is fenced at this primary's term, so that
/// nobody else had been promoted by then; absent when none has.
std::optional<time_point>
leadership_time(std::span<const endpoint_view> endpoints, std::size_t primary);

/// The primary of the highest term that any endpoint is fenced at.
std::optional<std::size_t>
find_primary(std::span<const endpoint_view> endpoints) noexcept;

/// Chooses where a statement runs.
route choose_endpoint(std::span<const endpoint_view> endpoints,
                      const routing_need& need, time_point now);

}

#endif
