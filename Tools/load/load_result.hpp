#ifndef BLUEBELLSPOKE_LOAD_LOAD_RESULT_HPP
#define BLUEBELLSPOKE_LOAD_LOAD_RESULT_HPP

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace bluebellspoke::load
{

/// One request's end; times are milliseconds after the start.
struct sample
{
    double m_intended = 0;
    double m_ended = 0;
    bool m_write = false;
    bool m_served = false;
};

/// What one workspace got.
struct workspace_result
{
    std::string m_name;
    std::uint64_t m_sent = 0;
    std::uint64_t m_served = 0;
    std::uint64_t m_at_replica = 0;                 ///< Reads.
    std::uint64_t m_at_primary = 0;                 ///< Reads.
    std::map<std::string, std::uint64_t> m_refused; ///< By code.
    std::vector<sample> m_samples;
};

struct load_result
{
    std::string m_experiment;
    double m_seconds = 0;
    std::vector<workspace_result> m_workspaces;
    double m_daemon_cpu_seconds = 0; ///< Of all daemons, under the load.
    /// Requests sent late by the tool itself, over 5 ms.
    std::uint64_t m_late = 0;
};

/// Time from the intended start to the answer, so that what queues before the
/// system counts. Milliseconds; 0 without a served request.
double latency_quantile(const workspace_result& w, double quantile);
/// The longest time without an acknowledged write, in milliseconds.
double longest_write_gap(const load_result& r);
/// The workspace with the least share of its requests served, then the
/// highest 99th percentile.
const workspace_result& worst_served(const load_result& r);
double served_share(const workspace_result& w);
double replica_share(const load_result& r);
/// Share of requests served among those intended in [from, to) seconds.
double served_share_between(const load_result& r, double from, double to);

nlohmann::json to_json(const load_result& r);
std::string to_table(const load_result& r);
/// Requests served and refused a second over time, as SVG.
std::string to_svg(const load_result& r);

}

#endif
