#include <session/failover_task_state.hpp>

#include <algorithm>
#include <span>
#include <utility>

#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

takeover_participant make_participant(const site_endpoint& e)
{
    takeover_participant m;
    m.m_endpoint = e;
    m.m_member.m_id = e.m_id;
    return m;
}

// Members that have been fenced can only be told from one that takes part in
// commits once they are chosen from.
bool has_chosen(const failover_group& g)
{
    return g.m_state != takeover_state::led &&
           g.m_state != takeover_state::touching;
}

void update_listing(const failover_task_state& t, takeover_participant& m)
{
    const auto& listed = t.m_endpoints->m_endpoints;
    const auto e = listed.find(m.m_endpoint.m_id);
    m.m_member.m_listed =
        e != listed.end() && e->second.m_service == m.m_endpoint.m_service;
    m.m_member.m_leaving =
        !m.m_member.m_listed || is_leaving(*t.m_endpoints, e->second);
    if (!m.m_member.m_listed || e->second.m_address == m.m_endpoint.m_address)
        return;
    m.m_endpoint = e->second;
    m.m_connection.reset();
    m.m_reply_pending = false;
}

}

void collect_members(const failover_task_state& t, const std::string& service,
                     failover_group& g)
{
    g.m_members.clear();
    for (const auto& [id, e] : t.m_endpoints->m_endpoints)
        if (e.m_service == service)
            g.m_members.push_back(make_participant(e));
    for (const auto& [at, l] : g.m_log_locations)
        if (!l.m_endpoint.m_id.empty() &&
            find_member(g, l.m_endpoint.m_id) == nullptr)
            g.m_members.push_back(make_participant(l.m_endpoint));
    for (takeover_participant& m : g.m_members)
        update_listing(t, m);
}

void update_members(const failover_task_state& t, const std::string& service,
                    failover_group& g)
{
    for (takeover_participant& m : g.m_members)
        update_listing(t, m);
    for (const auto& [id, e] : t.m_endpoints->m_endpoints)
    {
        if (e.m_service != service || find_member(g, id) != nullptr)
            continue;
        takeover_participant m = make_participant(e);
        m.m_member.m_joined_late = has_chosen(g);
        update_listing(t, m);
        g.m_members.push_back(std::move(m));
    }
}

namespace
{

void add_listed_members(const failover_task_state& t,
                        const std::string& service, failover_group& g,
                        std::span<const stored_change> listed)
{
    for (const stored_change& c : listed)
    {
        const std::string& id = c.m_object.m_name;
        const auto e = t.m_site_codec.m_read_endpoint(id, c.m_object.m_value);
        if (!e || e->m_service != service || find_member(g, id) != nullptr)
            continue;
        takeover_participant m = make_participant(*e);
        m.m_member.m_joined_late = true;
        g.m_members.push_back(std::move(m));
    }
}

}

void list_members(failover_task_state& t, const std::string& service,
                  failover_group& g)
{
    g.m_members_listed = false;
    g.m_next_action_at = boot_now() + member_list_timeout;
    t.m_store.m_list(stored_kind::endpoints, false,
                     [&t, service](store_answer& a)
                     {
                         failover_group& group = t.m_groups[service];
                         if (group.m_state != takeover_state::reviewing)
                             return;
                         if (a.m_failure)
                         {
                             group.m_next_action_at =
                                 boot_now() + order_retry_interval;
                             return;
                         }
                         add_listed_members(t, service, group, a.m_changes);
                         group.m_members_listed = true;
                         group.m_next_action_at = boot_now() + max_fence_age;
                     });
}

std::vector<takeover_member> decision_members(const failover_group& g)
{
    std::vector<takeover_member> members;
    for (const takeover_participant& m : g.m_members)
        members.push_back(m.m_member);
    while (members.size() < g.m_size)
        members.emplace_back();
    return members;
}

void update_log_locations(failover_task_state& t)
{
    const time_point now = boot_now();
    for (const auto& [id, e] : t.m_endpoints->m_endpoints)
        t.m_groups[e.m_service].m_log_locations[e.m_address] = {
            now, e.m_draining, e};
    for (auto& [service, g] : t.m_groups)
    {
        g.m_size = std::max(
            g.m_size, static_cast<std::uint32_t>(g.m_log_locations.size()));
        std::erase_if(g.m_log_locations,
                      [&g = g, now](const auto& entry)
                      {
                          const group_log_location& p = entry.second;
                          const duration age =
                              p.m_drained ? duration(drained_log_retention)
                                          : duration(lost_log_retention);
                          const bool over = now - p.m_seen_at >= age;
                          g.m_size -= over ? 1U : 0U;
                          return over;
                      });
    }
}

}
