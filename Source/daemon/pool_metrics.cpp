#include <daemon/pool_metrics.hpp>

#include <algorithm>
#include <chrono>

#include <daemon/pool_state.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::array<std::string_view, 2> kind_names{"read", "write"};

std::size_t kind_index(const request& r)
{
    return static_cast<std::size_t>(r.m_arrived.m_statement.m_kind);
}

double to_number(std::uint64_t value)
{
    return static_cast<double>(value);
}

void collect_kind(metric_families& families, const pool_counts& counts,
                  std::size_t kind)
{
    const std::array<std::string_view, 2> replica{kind_names[kind], "replica"};
    const std::array<std::string_view, 2> primary{kind_names[kind], "primary"};
    add_value(families, metric_id::statements, replica,
              to_number(counts.m_at_replica[kind]));
    add_value(families, metric_id::statements, primary,
              to_number(counts.m_at_primary[kind]));
    const std::array labels{kind_names[kind]};
    add_histogram(families, metric_id::queue_time, labels,
                  counts.m_queue_time[kind]);
    add_histogram(families, metric_id::endpoint_time, labels,
                  counts.m_endpoint_time[kind]);
}

void collect_requests(metric_families& families, const pool_state& p)
{
    constexpr std::array<std::string_view, 3> names{"queued", "running",
                                                    "confirming"};
    std::array<std::uint64_t, names.size()> by_state{};
    for (const auto& [exchange, r] : p.m_requests)
        if (r->m_state != request_state::ended)
            ++by_state[static_cast<std::size_t>(r->m_state)];
    for (std::size_t i = 0; i < names.size(); ++i)
        add_value(families, metric_id::queued_requests, {&names[i], 1},
                  to_number(by_state[i]));
}

std::string_view state_name(const pool_endpoint& e)
{
    if (!e.m_reachable || !e.m_view.m_state)
        return "unreachable";
    if (!e.m_view.m_admits)
        return "closed";
    return e.m_view.m_state->m_role == endpoint_role::primary ? "primary"
                                                              : "replica";
}

void collect_endpoints(metric_families& families, const pool_state& p)
{
    std::map<std::string_view, std::uint64_t> by_state{
        {"primary", 0}, {"replica", 0}, {"closed", 0}, {"unreachable", 0}};
    std::uint64_t running = 0;
    std::uint64_t connections = 0;
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
        {
            ++by_state[state_name(*e)];
            running += e->m_view.m_running;
            connections += e->m_connections.size();
        }
    for (const auto& [state, count] : by_state)
        add_value(families, metric_id::endpoint_state, {&state, 1},
                  to_number(count));
    add_value(families, metric_id::endpoint_running, {}, to_number(running));
    add_value(families, metric_id::endpoint_connections, {},
              to_number(connections));
}

void collect_shares(metric_families& families, const pool_state& p)
{
    constexpr std::array<std::string_view, 3> parts{"by_right", "lent",
                                                    "borrowed"};
    std::array<std::uint64_t, parts.size()> units{};
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
        {
            const share_ledger& b = e->m_book.m_ledger;
            units[0] += b.m_base;
            units[1] += count_units(b.m_lent);
            units[2] += count_units(b.m_borrowed);
        }
    for (std::size_t i = 0; i < parts.size(); ++i)
        add_value(families, metric_id::connection_share, {&parts[i], 1},
                  to_number(units[i]));
}

double write_age(const pool_counts& counts)
{
    constexpr double none = -1;
    if (!counts.m_last_write)
        return none;
    return to_seconds(monotonic_clock::now() - *counts.m_last_write);
}

}

void count_hand_over(pool_counts& counts, const request& r)
{
    if (r.m_attempts > 1)
        ++counts.m_retries;
    else
        observe(counts.m_queue_time[kind_index(r)],
                r.m_handed_over_at - r.m_arrived.m_context.m_arrived_at);
}

void count_endpoint_answer(pool_counts& counts, request& r)
{
    r.m_answered_at = monotonic_clock::now();
    observe(counts.m_endpoint_time[kind_index(r)],
            r.m_answered_at - r.m_handed_over_at);
}

void count_answer(pool_counts& counts, const request& r)
{
    auto& served =
        r.m_answer.m_from_replica ? counts.m_at_replica : counts.m_at_primary;
    ++served[kind_index(r)];
    // Only a write that waited for its majority has a position.
    if (r.m_answer.m_position == log_position())
        return;
    const time_point now = monotonic_clock::now();
    observe(counts.m_confirm_time, now - r.m_answered_at);
    counts.m_last_write = now;
}

metric_families collect_pool(const pool_state& p)
{
    metric_families families;
    for (std::size_t kind = 0; kind < kind_names.size(); ++kind)
        collect_kind(families, p.m_counts, kind);
    add_histogram(families, metric_id::confirm_time, {},
                  p.m_counts.m_confirm_time);
    add_value(families, metric_id::retries, {},
              to_number(p.m_counts.m_retries));
    add_value(families, metric_id::retries_refused, {},
              to_number(p.m_counts.m_retries_refused));
    add_value(families, metric_id::last_write, {}, write_age(p.m_counts));
    collect_requests(families, p);
    collect_endpoints(families, p);
    collect_shares(families, p);
    return families;
}

}
