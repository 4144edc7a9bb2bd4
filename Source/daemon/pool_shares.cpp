#include <daemon/pool_state.hpp>

#include <algorithm>

#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

bool keeps_to_epoch(pool_group& g, time_point now)
{
    // Every endpoint is asked: each takes its smaller part into force.
    bool keeps = true;
    for (const auto& e : g.m_endpoints)
        keeps = within_entitlement(e->m_book, use_of(*e), now) && keeps;
    return keeps;
}

// The lender counts on it: what was lent is free by then.
void drop_withdrawn(pool_endpoint& e, time_point now)
{
    while (!e.m_connections.empty() &&
           e.m_connections.size() > max_open_connections(e.m_book, now))
    {
        log_event(
            event_id::connection_withdrawn,
            {{"group", e.m_group.m_name}, {"endpoint", e.m_setting.m_name}});
        e.m_connections.back()->m_pg->close();
    }
}

}

bool is_busy(const pooled_connection& c) noexcept
{
    return c.m_running || c.m_transaction != nullptr;
}

pooled_connection* find_idle(const pool_endpoint& e)
{
    for (const auto& c : e.m_connections)
        if (!is_busy(*c) && c->m_pg->state() == connection_state::idle)
            return c.get();
    return nullptr;
}

void report_applied(pool_state& p)
{
    if (!p.m_right || p.m_applied_epoch == p.m_right->m_epoch.m_number)
        return;
    const time_point now = monotonic_clock::now();
    for (const auto& [name, group] : p.m_groups)
        if (!keeps_to_epoch(*group, now))
            return;
    p.m_applied_epoch = p.m_right->m_epoch.m_number;
    p.m_boxes.m_control.post(
        right_applied{share_holder::pool, p.m_applied_epoch});
}

std::uint32_t count_open(const pool_endpoint& e)
{
    const time_point now = monotonic_clock::now();
    auto open = static_cast<std::uint32_t>(e.m_connections.size());
    for (const time_point closed_at : e.m_closed_at)
        open += now - closed_at < close_delay ? 1 : 0;
    return open;
}

connection_usage use_of(const pool_endpoint& e)
{
    connection_usage use;
    use.m_open = count_open(e);
    for (const auto& c : e.m_connections)
        use.m_busy += is_busy(*c) ? 1 : 0;
    if (!e.m_short)
        return use;
    for (const fair_queue& queue : e.m_group.m_queues)
        use.m_waiting += static_cast<std::uint32_t>(queue.m_backlog);
    return use;
}

bool fits_share(const pool_endpoint& e)
{
    return e.m_connections.size() <=
           usable_connections(e.m_book, monotonic_clock::now());
}

void share_connections(pool_endpoint& e)
{
    const pool_state& p = e.m_group.m_pool;
    if (p.m_right)
        set_connection_limit(e.m_book, *p.m_right, e.m_connection_limit,
                             monotonic_clock::now());
}

void return_connections(pool_endpoint& e)
{
    const time_point now = monotonic_clock::now();
    advance_to(e.m_book, now);
    while (!fits_share(e))
    {
        pooled_connection* idle = find_idle(e);
        if (idle == nullptr)
            break;
        idle->m_pg->close();
    }
    drop_withdrawn(e, now);
    if (e.m_monitor && !may_monitor(e.m_book, now))
        e.m_monitor->close();
}

void take_right(pool_state& p, const share_entitlement& right)
{
    p.m_right = right;
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
        {
            share_connections(*e);
            return_connections(*e);
            start_monitor(*e);
        }
    tend_loans(p);
}

}
