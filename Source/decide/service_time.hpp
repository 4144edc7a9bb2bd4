#ifndef BLUEBELLSPOKE_DECIDE_SERVICE_TIME_HPP
#define BLUEBELLSPOKE_DECIDE_SERVICE_TIME_HPP

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Recent times from sending a request to an endpoint to its outcome. Zero:
/// unknown.
struct service_time
{
    duration m_mean{}; ///< Exponential moving average.
    duration m_min{};  ///< Minimum, which drifts towards the mean.
};

/// Adds the time of one served request.
void record_service_time(service_time& times, duration elapsed);
/// True when the remaining time is shorter than the recent minimum, so that the
/// request can't be expected to finish in time.
bool cannot_finish_within(const service_time& times,
                          duration remaining) noexcept;

}

#endif
