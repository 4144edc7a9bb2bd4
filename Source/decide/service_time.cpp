#include <decide/service_time.hpp>

#include <algorithm>

namespace bluebellspoke
{

namespace
{

// Divisors of an exponential moving average: the number of requests after which
// about two thirds of an old value have been replaced.
constexpr int mean_smoothing_requests = 16;
constexpr int min_decay_requests = 64;

}

void record_service_time(service_time& times, duration elapsed)
{
    if (times.m_mean == duration::zero())
    {
        times.m_mean = elapsed;
        times.m_min = elapsed;
        return;
    }
    times.m_mean += (elapsed - times.m_mean) / mean_smoothing_requests;
    const duration decayed =
        times.m_min + (times.m_mean - times.m_min) / min_decay_requests;
    times.m_min = std::min(elapsed, decayed);
}

bool cannot_finish_within(const service_time& times,
                          duration remaining) noexcept
{
    return remaining < times.m_min;
}

}
