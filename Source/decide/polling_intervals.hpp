#ifndef BLUEBELLSPOKE_DECIDE_POLLING_INTERVALS_HPP
#define BLUEBELLSPOKE_DECIDE_POLLING_INTERVALS_HPP

#include <chrono>
#include <cstddef>

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

/// Most time that a process of a large fleet may learn later of a change in the
/// store. Members that stop answering are noticed without the list.
inline constexpr std::chrono::milliseconds max_members_watch_pause{250};
/// The same for a cell leader. Its followers learn of a change of the members
/// up to a tick of 100 ms later than it does, and no later than if each of them
/// had watched and paused.
inline constexpr std::chrono::milliseconds max_leader_watch_pause{100};
/// Returns how long a process waits with its next watch after a change of the
/// members or, unless it leads its cell, of another kind. Answers the load of a
/// fleet that starts: each registration is a change for every process. The
/// pause grows with the fleet, so that all processes together begin about 200
/// watches a second, up to the longest pause. A longer one would delay the
/// election of cell leaders, who need the list.
std::chrono::milliseconds members_watch_pause(std::size_t members) noexcept;

}

#endif
