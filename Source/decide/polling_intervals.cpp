#include <decide/polling_intervals.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

using std::chrono::milliseconds;

constexpr polling_intervals active_intervals{milliseconds(20),
                                             milliseconds(25)};
// Several status queries must fit into suspicion_timeout, after which a primary
// is suspected.
constexpr polling_intervals idle_intervals{milliseconds(200),
                                           milliseconds(100)};

}

polling_intervals choose_polling_intervals(duration idle_for,
                                           bool has_primary) noexcept
{
    return has_primary && idle_for >= idle_threshold ? idle_intervals
                                                     : active_intervals;
}

std::chrono::milliseconds members_watch_pause(std::size_t members) noexcept
{
    constexpr milliseconds pause_a_member{5};
    const std::size_t most = static_cast<std::size_t>(
        max_members_watch_pause.count() / pause_a_member.count());
    return pause_a_member * std::min(members, most);
}

}
