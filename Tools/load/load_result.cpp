#include <load/load_result.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace bluebellspoke::load
{

namespace
{

using nlohmann::json;

std::vector<double> write_ends(const load_result& r)
{
    std::vector<double> ends;
    for (const workspace_result& w : r.m_workspaces)
        for (const sample& s : w.m_samples)
            if (s.m_write && s.m_served)
                ends.push_back(s.m_ended);
    std::sort(ends.begin(), ends.end());
    return ends;
}

json workspace_json(const workspace_result& w)
{
    return {{"name", w.m_name},
            {"sent", w.m_sent},
            {"served", w.m_served},
            {"refused", w.m_refused},
            {"reads_at_replica", w.m_at_replica},
            {"reads_at_primary", w.m_at_primary},
            {"p50_ms", latency_quantile(w, 0.5)},
            {"p99_ms", latency_quantile(w, 0.99)}};
}

std::uint64_t refused_count(const workspace_result& w)
{
    std::uint64_t sum = 0;
    for (const auto& [code, count] : w.m_refused)
        sum += count;
    return sum;
}

}

double latency_quantile(const workspace_result& w, double quantile)
{
    std::vector<double> times;
    for (const sample& s : w.m_samples)
        if (s.m_served)
            times.push_back(s.m_ended - s.m_intended);
    if (times.empty())
        return 0;
    const auto index = static_cast<std::size_t>(
        quantile * static_cast<double>(times.size() - 1));
    const auto nth = times.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(times.begin(), nth, times.end());
    return *nth;
}

double longest_write_gap(const load_result& r)
{
    const std::vector<double> ends = write_ends(r);
    double longest = 0;
    for (std::size_t i = 1; i < ends.size(); ++i)
        longest = std::max(longest, ends[i] - ends[i - 1]);
    return longest;
}

double served_share(const workspace_result& w)
{
    if (w.m_sent == 0)
        return 1;
    return static_cast<double>(w.m_served) / static_cast<double>(w.m_sent);
}

const workspace_result& worst_served(const load_result& r)
{
    return *std::min_element(
        r.m_workspaces.begin(), r.m_workspaces.end(),
        [](const workspace_result& a, const workspace_result& b)
        {
            const double share_a = served_share(a);
            const double share_b = served_share(b);
            if (share_a != share_b)
                return share_a < share_b;
            return latency_quantile(a, 0.99) > latency_quantile(b, 0.99);
        });
}

double replica_share(const load_result& r)
{
    std::uint64_t replica = 0;
    std::uint64_t all = 0;
    for (const workspace_result& w : r.m_workspaces)
    {
        replica += w.m_at_replica;
        all += w.m_at_replica + w.m_at_primary;
    }
    return all == 0 ? 0
                    : static_cast<double>(replica) / static_cast<double>(all);
}

double served_share_between(const load_result& r, double from, double to)
{
    constexpr double ms_per_second = 1000;
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    for (const workspace_result& w : r.m_workspaces)
        for (const sample& s : w.m_samples)
        {
            const double at = s.m_intended / ms_per_second;
            if (at < from || at >= to)
                continue;
            ++sent;
            served += s.m_served ? 1 : 0;
        }
    return sent == 0 ? 1
                     : static_cast<double>(served) / static_cast<double>(sent);
}

json to_json(const load_result& r)
{
    json workspaces = json::array();
    for (const workspace_result& w : r.m_workspaces)
        workspaces.push_back(workspace_json(w));
    return {{"experiment", r.m_experiment},
            {"seconds", r.m_seconds},
            {"sent_late_by_tool", r.m_late},
            {"replica_share", replica_share(r)},
            {"longest_write_gap_ms", longest_write_gap(r)},
            {"worst_served", worst_served(r).m_name},
            {"workspaces", std::move(workspaces)}};
}

std::string to_table(const load_result& r)
{
    std::array<char, 160> line{};
    std::string text;
    const auto add = [&](int length)
    {
        text.append(line.data(), static_cast<std::size_t>(length));
    };
    add(std::snprintf(line.data(), line.size(), "%-16s %8s %8s %8s %9s %9s\n",
                      "workspace", "sent", "served", "refused", "p50 ms",
                      "p99 ms"));
    for (const workspace_result& w : r.m_workspaces)
        add(std::snprintf(
            line.data(), line.size(), "%-16s %8llu %8llu %8llu %9.1f %9.1f\n",
            w.m_name.c_str(), static_cast<unsigned long long>(w.m_sent),
            static_cast<unsigned long long>(w.m_served),
            static_cast<unsigned long long>(refused_count(w)),
            latency_quantile(w, 0.5), latency_quantile(w, 0.99)));
    return text;
}

}
