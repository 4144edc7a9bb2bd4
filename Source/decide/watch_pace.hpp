#ifndef BLUEBELLSPOKE_DECIDE_WATCH_PACE_HPP
#define BLUEBELLSPOKE_DECIDE_WATCH_PACE_HPP

#include <chrono>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// A group without requests for this long is watched less closely.
inline constexpr std::chrono::seconds idle_time{2};

/// How closely a daemon watches a group.
struct watch_pace
{
    std::chrono::milliseconds m_ask;   ///< Between questions to an endpoint.
    std::chrono::milliseconds m_judge; ///< Between looks at the primary.
};

/// `unused` is the time since the last request for the group; `led` is false
/// while its primary is suspected.
watch_pace pace_of_watch(duration unused, bool led) noexcept;

}

#endif
