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

/// What routing knows about an endpoint.
struct endpoint_view
{
    std::optional<endpoint_state> m_state; ///< Absent: no status received yet.
    bool m_admits = false;       ///< Receives new work, see admits_work().
    bool m_local = false;        ///< In the availability zone of this process.
    std::uint32_t m_running = 0; ///< Statements of this process.
    std::uint32_t m_slots = 0;   ///< That this process may use.
};

/// What a statement requires of the endpoint that runs it.
struct routing_requirements
{
    statement_kind m_kind = statement_kind::read;
    std::optional<log_position>
        m_session_position;            ///< Must be visible, if any.
    std::optional<duration> m_max_age; ///< Of the data read, if stated.
    /// Until then, the read waits for a replica to catch up.
    std::optional<time_point> m_replica_wait_until;
    /// In a transaction, or after a replica turned out to be behind.
    bool m_primary_only = false;
};

/// What to do with a statement.
enum class route_outcome : std::uint8_t
{
    run,        ///< Send it to endpoint m_index now.
    wait_slot,  ///< Wait for a slot of endpoint m_index.
    wait_state, ///< Wait for a replica to catch up.
    none,       ///< No endpoint is suitable.
};

struct route
{
    route_outcome m_outcome = route_outcome::none;
    std::size_t m_index = 0;
};

/// True when the endpoint has replayed the log up to `position`, so that reads
/// there see everything the session has seen.
bool has_replayed(const endpoint_state& state,
                  const log_position& position) noexcept;

/// Returns an upper bound of the age, at `now`, of the data at the endpoint, or
/// nothing if its age is unknown.
std::optional<duration> age_bound(const endpoint_state& state,
                                  time_point now) noexcept;

/// True when the endpoint is a primary whose term is at least that of
/// `position`, so that reads there see everything the session has seen.
bool primary_covers(const endpoint_state& state,
                    const log_position& position) noexcept;

/// Returns the latest time at which a majority was fenced at the term of this
/// primary, so that no other primary had been promoted by then. Returns nothing
/// if no majority is.
std::optional<time_point>
leadership_confirmed_at(std::span<const endpoint_view> endpoints,
                        std::size_t primary);

/// Returns the primary of the highest term that any endpoint is fenced at.
std::optional<std::size_t>
find_primary(std::span<const endpoint_view> endpoints) noexcept;

/// Chooses the endpoint for a statement.
route choose_endpoint(std::span<const endpoint_view> endpoints,
                      const routing_requirements& requirements, time_point now);

}

#endif
