#ifndef BLUEBELLSPOKE_DAEMON_FRONT_METRICS_HPP
#define BLUEBELLSPOKE_DAEMON_FRONT_METRICS_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include <model/refusal.hpp>
#include <report/latency_histogram.hpp>
#include <report/metric.hpp>

namespace bluebellspoke
{

struct front_state;

/// Workspaces with labels of their own; the rest count as one.
inline constexpr std::size_t max_labelled_workspaces = 50;

struct workspace_counts
{
    std::uint64_t m_served = 0;
    std::uint64_t m_refused = 0; ///< Not run.
    std::uint64_t m_unknown = 0; ///< Outcome unknown.
    latency_histogram m_latency;
};

/// What the front task counts.
struct front_counts
{
    std::map<std::string, workspace_counts, std::less<>> m_workspaces;
    workspace_counts m_other;
    /// Refusals by code, then by what became of the request.
    std::map<refusal, std::array<std::uint64_t, 2>> m_refusals;
};

void count_served(front_counts& counts, std::string_view workspace,
                  duration passed);
/// `workspace` is empty when the request named none that is known.
void count_refused(front_counts& counts, std::string_view workspace,
                   const refusal_error& r);
metric_families collect_front(const front_state& f);

}

#endif
