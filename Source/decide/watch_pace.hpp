#ifndef BLUEBELLSPOKE_DECIDE_WATCH_PACE_HPP
#define BLUEBELLSPOKE_DECIDE_WATCH_PACE_HPP

#include <chrono>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// A group that had no requests for this long is polled less often.
inline constexpr std::chrono::seconds idle_time{2};

/// How often a daemon polls a group.
struct watch_pace
{
    std::chrono::milliseconds m_ask; ///< Between status queries to an endpoint.
    std::chrono::milliseconds m_judge; ///< Between evaluations of the primary.
};

/// Chooses the intervals for a group. `idle_for` is the time since its last
/// request; `has_primary` is false while its primary is suspected to have
/// failed.
watch_pace pace_of_watch(duration idle_for, bool has_primary) noexcept;

}

#endif
