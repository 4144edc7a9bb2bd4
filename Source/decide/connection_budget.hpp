#ifndef BLUEBELLSPOKE_DECIDE_CONNECTION_BUDGET_HPP
#define BLUEBELLSPOKE_DECIDE_CONNECTION_BUDGET_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Connections of an endpoint that are reserved for the process that promotes
/// a primary.
inline constexpr std::uint32_t reserved_connections = 2;
/// Factor by which a process may exceed its even share of an endpoint's
/// connections. Open transactions hold more connections on some processes than
/// on others, and an endpoint refuses connections when it is full.
inline constexpr double connection_overcommit = 1.5;
/// Connections to an endpoint that stay open even if idle, where all processes
/// may retain as many: establishing one delays the first statement.
inline constexpr std::uint32_t max_retained_connections = 2;
/// The pause after an endpoint had no room for a connection; doubles with each
/// further refusal.
inline constexpr std::chrono::milliseconds min_full_pause{100};
inline constexpr std::chrono::milliseconds max_full_pause{1600};

/// How many connections to one endpoint a process may have.
struct connection_budget
{
    std::uint32_t m_limit = 0;    ///< Most open connections.
    std::uint32_t m_retained = 0; ///< Stay open even if idle.
    duration m_idle_timeout{};    ///< Of the connections beyond m_retained.
};

/// Chooses the budget of one of `processes` processes at an endpoint that
/// accepts `limit` connections and has `open` of all processes, by its latest
/// status.
///
/// Answers the load of fleets with about as many processes as an endpoint has
/// connections, or more. Where the even share is below two, connections follow
/// the statements: the processes that have some may open a few, fewer the
/// closer the endpoint is to its limit, and none is kept for the others.
connection_budget choose_connection_budget(std::uint32_t limit,
                                           std::size_t processes,
                                           std::uint32_t open) noexcept;

/// Returns what is left of the last pause for the next refusal, after a
/// connection was accepted. Halved, not reset: a crowded endpoint accepts one
/// now and then.
duration pause_after_success(duration last) noexcept;

/// Returns the pause after an endpoint had no room: twice the last one, spread
/// by `random` in [0, 1) so that processes that were refused together don't
/// return together.
duration next_full_pause(duration last, double random) noexcept;

}

#endif
