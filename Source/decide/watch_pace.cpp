#include <decide/watch_pace.hpp>

namespace bluebellspoke
{

namespace
{

using std::chrono::milliseconds;

constexpr watch_pace active_intervals{milliseconds(20), milliseconds(25)};
// Several status queries must fit into suspicion_timeout, after which a primary
// is suspected.
constexpr watch_pace idle_intervals{milliseconds(200), milliseconds(100)};

}

watch_pace pace_of_watch(duration idle_for, bool has_primary) noexcept
{
    return has_primary && idle_for >= idle_time ? idle_intervals
                                                : active_intervals;
}

}
