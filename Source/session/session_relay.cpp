#include <session/session_task_state.hpp>

#include <algorithm>
#include <utility>

#include <decide/group_relay.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

bool lacks_lease(const service_group& g, time_point now)
{
    return backlog(g.m_queue) > 0 &&
           (g.m_view.m_primary.empty() || now >= g.m_view.m_lease_until);
}

void note_starvation(service_group& g, time_point now)
{
    if (!lacks_lease(g, now))
        g.m_starved_since = {};
    else if (g.m_starved_since == time_point{})
        g.m_starved_since = now;
    else if (now - g.m_starved_since >= own_request_delay)
        g.m_asks_itself = true;
}

relayed_group describe(const session_task_state& t, const std::string& name,
                       const service_group& g, time_point now)
{
    relayed_group m = make_relayed_group(g.m_view, now);
    m.m_service = name;
    for (const auto& [id, p] : t.m_endpoint_pools)
    {
        if (p.m_group != &g || p.m_last_contact_at == time_point{})
            continue;
        relayed_endpoint& e = m.m_endpoints[id];
        e = {now - p.m_last_contact_at, p.m_open_connections};
        const auto seen = g.m_view.m_observations.find(id);
        if (seen == g.m_view.m_observations.end())
            continue;
        e.m_busy = seen->second.m_status.m_busy;
        e.m_busy_ago = now - seen->second.m_asked_at;
    }
    return m;
}

}

bool asks_endpoints(const session_task_state& t, time_point now)
{
    return !t.m_has_cell_leaders || now < t.m_leader_until;
}

void note_use(service_group& g, time_point now)
{
    g.m_used_at = now;
}

bool must_ask_itself(const service_group& g, time_point now)
{
    return g.m_asks_itself && now - g.m_used_at < relayed_use_time;
}

void tick_relay(session_task_state& t, time_point now)
{
    for (auto& [name, g] : t.m_groups)
        note_starvation(g, now);
    if (!t.m_has_cell_leaders)
        return;
    group_request m;
    const bool leads = asks_endpoints(t, now);
    const duration margin = leads ? duration(unrenewed_lease_margin)
                                  : duration(relayed_lease_request_margin);
    m.m_source = leads ? group_source::other_leaders : group_source::own_leader;
    bool urgent = false;
    for (const auto& [name, g] : t.m_groups)
        if (needs_relay(g.m_view, g.m_used_at, now, margin))
        {
            m.m_services.push_back(name);
            urgent = urgent || g.m_starved_since != time_point{};
        }
    const duration passed = now - t.m_relay_requested_at;
    if (m.m_services.empty() ||
        passed < (urgent ? urgent_relay_interval : relay_interval) ||
        (t.m_relay_is_pending && passed < relay_answer_timeout))
        return;
    ++t.m_counts.m_relay_requests;
    t.m_relay_requested_at = now;
    t.m_relay_is_pending = true;
    m.m_requested_at = now;
    t.m_mailboxes.m_site.post(std::move(m));
}

void apply_group_response(session_task_state& t, const group_response& m)
{
    if (m.m_requested_at == t.m_relay_requested_at)
        t.m_relay_is_pending = false;
    for (const relayed_group& relayed : m.m_groups)
    {
        const auto found = t.m_groups.find(relayed.m_service);
        if (found == t.m_groups.end())
            continue;
        service_group& g = found->second;
        if (adopt_relayed_group(g.m_view, relayed, m.m_requested_at))
            log_primary_change(t, g);
        if (relayed.m_lease_proven_ago)
            g.m_asks_itself = false;
        for (const auto& [id, e] : relayed.m_endpoints)
        {
            const auto p = t.m_endpoint_pools.find(id);
            if (p == t.m_endpoint_pools.end())
                continue;
            record_relayed_contact(p->second, m.m_requested_at - e.m_ago,
                                   e.m_connections);
            if (e.m_busy)
                record_busy_slots(p->second.m_load, *e.m_busy,
                                  m.m_requested_at - e.m_busy_ago);
        }
        serve_waiting(t, g);
    }
}

void answer_peer_groups(session_task_state& t, const incoming_group_request& m)
{
    const time_point now = boot_now();
    outgoing_groups answer{
        m.m_exchange, t.m_has_cell_leaders && asks_endpoints(t, now), {}};
    for (const std::string& name : m.m_services)
    {
        const auto found = t.m_groups.find(name);
        if (!answer.m_is_leader || found == t.m_groups.end())
            continue;
        // Leaders that can't renew a lease must not keep each other asking.
        if (m.m_from_other_cell)
            found->second.m_asked_for_at = now;
        else
            note_use(found->second, now);
        answer.m_groups.push_back(describe(t, name, found->second, now));
    }
    t.m_mailboxes.m_site.post(std::move(answer));
}

}
