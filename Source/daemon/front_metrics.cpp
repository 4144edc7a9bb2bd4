#include <daemon/front_metrics.hpp>

#include <daemon/front_state.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::string_view other_workspaces = "other";

// The first workspaces to come keep their labels for good: a list of the
// busiest would let the counter of all others go backwards.
workspace_counts& counts_of(front_counts& counts, std::string_view workspace)
{
    const auto found = counts.m_workspaces.find(workspace);
    if (found != counts.m_workspaces.end())
        return found->second;
    if (counts.m_workspaces.size() >= max_labelled_workspaces)
        return counts.m_other;
    return counts.m_workspaces[std::string(workspace)];
}

void collect_workspace(metric_families& families, std::string_view name,
                       const workspace_counts& w)
{
    const auto add = [&](std::string_view result, std::uint64_t value)
    {
        const std::array labels{name, result};
        add_value(families, metric_id::requests, labels,
                  static_cast<double>(value));
    };
    add("served", w.m_served);
    add("refused", w.m_refused);
    add("unknown", w.m_unknown);
    const std::array labels{name};
    add_histogram(families, metric_id::workspace_latency, labels, w.m_latency);
}

void collect_rates(metric_families& families, const front_state& f)
{
    if (!f.m_settings)
        return;
    for (const auto& [name, counts] : f.m_counts.m_workspaces)
    {
        const auto workspace = f.m_settings->m_workspaces.find(name);
        if (workspace == f.m_settings->m_workspaces.end())
            continue;
        const std::array<std::string_view, 1> labels{name};
        add_value(families, metric_id::workspace_rate, labels,
                  workspace->second.m_rate);
    }
}

void collect_refusals(metric_families& families, const front_counts& counts)
{
    for (const auto& [code, by_fate] : counts.m_refusals)
        for (const refusal_outcome f :
             {refusal_outcome::not_run, refusal_outcome::outcome_unknown})
        {
            const std::array labels{describe(code).m_name, to_string(f)};
            add_value(
                families, metric_id::refusals, labels,
                static_cast<double>(by_fate[static_cast<std::size_t>(f)]));
        }
}

}

void count_served(front_counts& counts, std::string_view workspace,
                  duration passed)
{
    workspace_counts& w = counts_of(counts, workspace);
    ++w.m_served;
    observe(w.m_latency, passed);
}

void count_refused(front_counts& counts, std::string_view workspace,
                   const refusal_error& r)
{
    ++counts.m_refusals[r.m_code][static_cast<std::size_t>(r.m_outcome)];
    if (workspace.empty())
        return;
    workspace_counts& w = counts_of(counts, workspace);
    ++(r.m_outcome == refusal_outcome::not_run ? w.m_refused : w.m_unknown);
}

metric_families collect_front(const front_state& f)
{
    metric_families families;
    for (const auto& [name, counts] : f.m_counts.m_workspaces)
        collect_workspace(families, name, counts);
    collect_workspace(families, other_workspaces, f.m_counts.m_other);
    collect_rates(families, f);
    collect_refusals(families, f.m_counts);
    add_value(families, metric_id::open_requests, {},
              static_cast<double>(f.m_server->open_exchanges()));
    add_value(families, metric_id::caller_connections, {},
              static_cast<double>(f.m_server->open_connections()));
    return families;
}

}
