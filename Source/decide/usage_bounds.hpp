#ifndef BLUEBELLSPOKE_DECIDE_USAGE_BOUNDS_HPP
#define BLUEBELLSPOKE_DECIDE_USAGE_BOUNDS_HPP

#include <cstddef>
#include <cstdint>

#include <model/usage.hpp>

namespace bluebellspoke
{

/// Most workspaces in one window of a summary. Configurations have hundreds.
inline constexpr std::size_t max_usage_workspaces = 10'000;
/// Highest count of a workspace in one window; the sum over all processes stays
/// in range.
inline constexpr std::uint64_t max_usage_count = 1'000'000'000'000;

struct window_range
{
    window_id m_first = 0;
    window_id m_last = 0;
};

/// Removes what a summary of another process may not hold: windows out of the
/// range, workspaces beyond the maximum, and counts that are too high or belong
/// to no valid name. Returns the number of counts removed from the windows in
/// the range; those before and after it are in any summary now and then.
std::size_t bound_usage(usage_summary& summary, const window_range& range);

}

#endif
