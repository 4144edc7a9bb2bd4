#ifndef BLUEBELLSPOKE_MODEL_USAGE_HPP
#define BLUEBELLSPOKE_MODEL_USAGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace bluebellspoke
{

/// Number of a usage window: window k begins k times its length after the start
/// of 1970.
using window_id = std::uint64_t;

/// Requests by workspace.
using usage_counts = std::map<std::string, std::uint64_t, std::less<>>;

/// The requests that started running in one window.
struct usage_window
{
    usage_counts m_counts;
    /// Processes of a cell whose counts aren't final; 0 in what a process says
    /// of itself.
    std::uint32_t m_missing = 0;

    friend bool operator==(const usage_window&, const usage_window&) = default;
};

using usage_windows = std::map<window_id, usage_window>;

/// What a process, or the leader of a cell, says of its recent windows. The
/// counts are cumulative, so that one received twice changes nothing.
struct usage_summary
{
    std::string m_source; ///< Name of the process, or the cell's zone.
    std::uint64_t m_incarnation = 0; ///< Of the process, or as cell leader.
    std::uint64_t m_version = 0;     ///< Grows with each one of an incarnation.
    window_id m_final_before = 0; ///< Counts of earlier windows don't change.
    usage_windows m_windows;
};

}

#endif
