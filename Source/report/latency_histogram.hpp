#ifndef BLUEBELLSPOKE_REPORT_LATENCY_HISTOGRAM_HPP
#define BLUEBELLSPOKE_REPORT_LATENCY_HISTOGRAM_HPP

#include <array>
#include <cstdint>

#include <model/clock.hpp>

namespace bluebellspoke
{

/// Upper bounds of the buckets, in seconds; one more bucket takes the rest.
inline constexpr std::array latency_bounds{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0,
};

/// Times counted by bucket; one task owns it.
struct latency_histogram
{
    std::array<std::uint64_t, latency_bounds.size() + 1> m_buckets{};
    double m_sum = 0; ///< Seconds.
};

void observe(latency_histogram& h, duration passed) noexcept;

}

#endif
