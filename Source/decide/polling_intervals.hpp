#ifndef BLUEBELLSPOKE_DECIDE_POLLING_INTERVALS_HPP
#define BLUEBELLSPOKE_DECIDE_POLLING_INTERVALS_HPP

#include <chrono>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// A group that had no requests for this long is polled less often.
inline constexpr std::chrono::seconds idle_threshold{2};

/// How often a daemon polls a group.
struct polling_intervals
{
    std::chrono::milliseconds
        m_status_query; ///< Between status queries to an endpoint.
    std::chrono::milliseconds
        m_primary_check; ///< Between evaluations of the primary.
};

/// Chooses the intervals for a group. `idle_for` is the time since its last
/// request; `has_primary` is false while its primary is suspected to have
/// failed.
polling_intervals choose_polling_intervals(duration idle_for,
                                           bool has_primary) noexcept;

}

#endif
