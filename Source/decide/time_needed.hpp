#ifndef BLUEBELLSPOKE_DECIDE_TIME_NEEDED_HPP
#define BLUEBELLSPOKE_DECIDE_TIME_NEEDED_HPP

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Recent times from sending a request to an endpoint to its outcome. Zero:
/// unknown.
struct time_needed
{
    duration m_mean{};  ///< Exponential moving average.
    duration m_least{}; ///< Minimum, which drifts towards the mean.
};

/// Adds the time of one served request.
void note_served(time_needed& times, duration elapsed);
/// True when the remaining time is shorter than the recent minimum, so that the
/// request can't be expected to finish in time.
bool is_hopeless(const time_needed& times, duration remaining) noexcept;

}

#endif
