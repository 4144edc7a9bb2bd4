#ifndef BLUEBELLSPOKE_MODEL_CLOCK_HPP
#define BLUEBELLSPOKE_MODEL_CLOCK_HPP

#include <chrono>

namespace bluebellspoke
{

/// The monotonic clock. Decision functions don't read it; they take the current
/// time as an argument.
using monotonic_clock = std::chrono::steady_clock;
using time_point = monotonic_clock::time_point;
using duration = monotonic_clock::duration;

constexpr double to_seconds(duration d) noexcept
{
    return std::chrono::duration<double>(d).count();
}

}

#endif
