#include <decide/usage_bounds.hpp>

#include <iterator>

#include <model/name_check.hpp>

namespace bluebellspoke
{

namespace
{

std::size_t bound_counts(usage_counts& counts)
{
    std::size_t removed = std::erase_if(
        counts,
        [](const auto& entry)
        {
            return entry.second > max_usage_count || !is_name(entry.first);
        });
    if (counts.size() > max_usage_workspaces)
    {
        removed += counts.size() - max_usage_workspaces;
        counts.erase(std::next(counts.begin(), max_usage_workspaces),
                     counts.end());
    }
    return removed;
}

}

std::size_t bound_usage(usage_summary& summary, const window_range& range)
{
    std::erase_if(summary.m_windows,
                  [&range](const auto& entry)
                  {
                      return entry.first < range.m_first ||
                             entry.first > range.m_last;
                  });
    std::size_t removed = 0;
    for (auto& [id, window] : summary.m_windows)
        removed += bound_counts(window.m_counts);
    return removed;
}

}
