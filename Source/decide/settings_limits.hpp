#ifndef BLUEBELLSPOKE_DECIDE_SETTINGS_LIMITS_HPP
#define BLUEBELLSPOKE_DECIDE_SETTINGS_LIMITS_HPP

#include <cstdint>

namespace bluebellspoke
{

/// Range of a setting, and its value when no node sets it.
template <class Value>
struct value_range
{
    Value m_least;
    Value m_most;
    Value m_default;
};

inline constexpr value_range<double> rate_range{0.1, 10'000'000, 1000};
inline constexpr value_range<double> burst_range{1, 10'000'000, 2000};
inline constexpr value_range<double> weight_range{0.01, 1000, 1};
inline constexpr value_range<std::uint32_t> time_limit_range{10, 600'000,
                                                             10'000};
inline constexpr value_range<std::uint32_t> confirm_range{1, 60'000, 3000};
inline constexpr value_range<std::uint32_t> lag_wait_range{0, 60'000, 50};
/// The default is the number of statements that arrive at the default rate
/// within the default time limit.
inline constexpr value_range<std::uint32_t> queue_limit_range{1, 1'000'000,
                                                              10'000};
inline constexpr value_range<std::uint32_t> slots_range{1, 10'000, 5};
inline constexpr value_range<std::uint32_t> connections_range{2, 10'000, 30};

}

#endif
