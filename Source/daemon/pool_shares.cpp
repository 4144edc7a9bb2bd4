#include <daemon/pool_state.hpp>

#include <algorithm>

#include <decide/connection_share.hpp>

namespace bluebellspoke
{

namespace
{

bool is_idle(const pooled_connection& c)
{
    return !c.m_running && c.m_transaction == nullptr &&
           c.m_pg->state() == connection_state::idle;
}

// The daemon's part of an epoch is applied when what is open fits it.
void report_applied(pool_state& p)
{
    if (!p.m_right || p.m_applied_epoch == p.m_right->m_epoch.m_number)
        return;
    for (const auto& [name, group] : p.m_groups)
        if (!std::all_of(group->m_endpoints.begin(), group->m_endpoints.end(),
                         [](const auto& e)
                         {
                             return fits_share(*e);
                         }))
            return;
    p.m_applied_epoch = p.m_right->m_epoch.m_number;
    p.m_boxes.m_control.post(
        right_applied{share_holder::pool, p.m_applied_epoch});
}

}

bool fits_share(const pool_endpoint& e)
{
    return e.m_connections.size() <= e.m_connection_share;
}

void share_connections(pool_endpoint& e)
{
    const pool_state& p = e.m_group.m_pool;
    e.m_connection_share =
        p.m_right ? connection_share(*p.m_right, e.m_connection_limit,
                                     e.m_setting.m_name)
                  : 0;
}

void return_connections(pool_endpoint& e)
{
    while (!fits_share(e))
    {
        const auto idle =
            std::find_if(e.m_connections.begin(), e.m_connections.end(),
                         [](const auto& c)
                         {
                             return is_idle(*c);
                         });
        if (idle == e.m_connections.end())
            return;
        (*idle)->m_pg->close();
    }
    report_applied(e.m_group.m_pool);
}

void take_right(pool_state& p, const share_right& right)
{
    p.m_right = right;
    for (const auto& [name, group] : p.m_groups)
        for (const auto& e : group->m_endpoints)
        {
            share_connections(*e);
            return_connections(*e);
        }
    report_applied(p);
    for (const auto& [name, group] : p.m_groups)
        dispatch(*group);
}

}
