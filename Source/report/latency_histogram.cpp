#include <report/latency_histogram.hpp>

#include <algorithm>
#include <chrono>

namespace bluebellspoke
{

void observe(latency_histogram& h, duration passed) noexcept
{
    const double seconds = to_seconds(passed);
    const auto* bound =
        std::lower_bound(latency_bounds.begin(), latency_bounds.end(), seconds);
    ++h.m_buckets[static_cast<std::size_t>(bound - latency_bounds.begin())];
    h.m_sum += seconds;
}

}
