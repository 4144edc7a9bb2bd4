#ifndef BLUEBELLSPOKE_DECIDE_ENDPOINT_VERDICT_HPP
#define BLUEBELLSPOKE_DECIDE_ENDPOINT_VERDICT_HPP

#include <chrono>
#include <cstdint>
#include <string_view>

#include <decide/group_view.hpp>
#include <model/clock.hpp>

namespace bluebellspoke
{

/// How long a leaving primary still gets work that only a primary can run,
/// while its successor is promoted. The described deployments allow no new work
/// on it later than 7 s after it began to drain or 5 s after its zone's
/// evacuation.
inline constexpr std::chrono::milliseconds leaving_primary_grace{3500};

/// Whether an endpoint may run a statement, or the first reason why not.
enum class endpoint_verdict : std::uint8_t
{
    usable,
    not_listed,    ///< It isn't in the store any more.
    avoided,       ///< It failed, and hasn't replied since.
    busy,          ///< It refused a statement for want of a free slot.
    draining,      ///< It leaves the group.
    evacuated,     ///< Its zone is evacuated.
    region,        ///< The route or the workspace doesn't allow its region.
    tried,         ///< An attempt of the statement failed there.
    lags,          ///< It was found too far behind for reads.
    not_primary,   ///< Only the primary can run the statement.
    no_lease,      ///< Nothing proves that it still is the primary.
    no_position,   ///< No log position is known that a replica must reach.
    no_connection, ///< It may run it, but has no connection for it.
};

std::string_view to_string(endpoint_verdict verdict) noexcept;

/// What is known of an endpoint, whatever the statement.
struct endpoint_availability
{
    bool m_is_listed = true;
    bool m_is_avoided = false;
    bool m_is_evacuated = false;
    time_point m_busy_until{};
    time_point m_draining_since{}; ///< Zero if neither draining nor evacuated.
};

/// Judges whether the endpoint gets new work. `only_primary`: the endpoint is
/// the primary, and the work can run nowhere else.
endpoint_verdict judge_availability(const endpoint_availability& endpoint,
                                    bool only_primary, time_point now);

/// The consistency that a statement needs.
struct consistency_need
{
    bool m_writes_alone = false;  ///< A write outside a transaction.
    bool m_needs_primary = false; ///< Replicas can't run it.
    time_point m_arrived_at{};    ///< Arrival of its operation.
    duration m_staleness{};       ///< How old its data may be.
};

/// Judges whether the endpoint can give that consistency, by its own log or by
/// the minimum log position that is sent along.
endpoint_verdict judge_consistency(const group_view& group, std::string_view id,
                                   const consistency_need& need);

}

#endif
