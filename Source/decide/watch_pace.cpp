#include <decide/watch_pace.hpp>

namespace bluebellspoke
{

namespace
{

using std::chrono::milliseconds;

constexpr watch_pace close_watch{milliseconds(20), milliseconds(25)};
// Several questions must fit into the time after which a primary is suspected.
constexpr watch_pace loose_watch{milliseconds(200), milliseconds(100)};

}

watch_pace pace_of_watch(duration unused, bool led) noexcept
{
    return led && unused >= idle_time ? loose_watch : close_watch;
}

}
