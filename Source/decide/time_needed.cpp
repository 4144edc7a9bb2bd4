#include <decide/time_needed.hpp>

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

void note_served(time_needed& times, duration elapsed)
{
    if (times.m_mean == duration::zero())
    {
        times.m_mean = elapsed;
        times.m_least = elapsed;
        return;
    }
    times.m_mean += (elapsed - times.m_mean) / mean_smoothing_requests;
    const duration decayed =
        times.m_least + (times.m_mean - times.m_least) / min_decay_requests;
    times.m_least = std::min(elapsed, decayed);
}

bool is_hopeless(const time_needed& times, duration remaining) noexcept
{
    return remaining < times.m_least;
}

}
