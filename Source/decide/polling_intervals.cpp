#include <decide/polling_intervals.hpp>

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

}
