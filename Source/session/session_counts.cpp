#include <session/session_task_state.hpp>

#include <array>

namespace bluebellspoke
{

void count_fault(session_task_state& t, session_fault fault)
{
    ++t.m_counts.m_faults[fault];
}

metric_families collect_sessions(const session_task_state& t)
{
    constexpr std::array<std::string_view, 4> outcomes{"served", "refused",
                                                       "failed", "gone"};
    metric_families families;
    const session_counts& c = t.m_counts;
    for (std::size_t i = 0; i < outcomes.size(); ++i)
        add_value(families, metric_id::session_statements,
                  std::array{outcomes[i]},
                  static_cast<double>(c.m_outcomes[i]));
    for (const auto& [fault, count] : c.m_faults)
        add_value(families, metric_id::session_faults,
                  std::array{to_string(fault)}, static_cast<double>(count));
    std::size_t open = 0;
    for (const session& s : t.m_sessions)
        open += s.m_state != session_state::closed ? 1U : 0U;
    add_value(families, metric_id::sessions_open, {},
              static_cast<double>(open));
    add_value(families, metric_id::endpoint_links_opened, {},
              static_cast<double>(c.m_links_opened));
    add_value(families, metric_id::session_reads,
              std::array{std::string_view("primary")},
              static_cast<double>(c.m_primary_reads));
    add_value(families, metric_id::session_reads,
              std::array{std::string_view("replica")},
              static_cast<double>(c.m_replica_reads));
    add_histogram(families, metric_id::session_wait_time, {}, c.m_wait_time);
    add_histogram(families, metric_id::session_endpoint_time, {},
                  c.m_endpoint_time);
    return families;
}

}
