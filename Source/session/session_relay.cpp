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

std::vector<std::string> endpoint_ids(const session_task_state& t,
                                      const service_group& g)
{
    std::vector<std::string> ids;
    for (const auto& [id, p] : t.m_endpoint_pools)
        if (p.m_group == &g)
            ids.push_back(id);
    return ids;
}

// Commits need a lease, and transactions may last longer than what is known of
// a group is kept current after its last use.
void note_open_transactions(session_task_state& t, time_point now)
{
    for (const session& s : t.m_sessions)
        if (s.m_transaction && !s.m_transaction->m_is_read_only &&
            s.m_transaction->m_link)
            note_use(*s.m_transaction->m_link->m_endpoint_pool->m_group, now);
}

// A group in another process's request.
struct requested_group
{
    std::size_t m_index = 0;
    const std::string& m_service;
    std::uint64_t m_base = 0; ///< Version of the answer that it still has.
    bool m_wants_lease = false;
};

// Adds a group to the answer: its changes since the base, or all.
void add_group(session_task_state& t, outgoing_groups& answer,
               const requested_group& r, service_group& g, time_point now)
{
    relayed_group m = describe(t, r.m_service, g, now);
    const bool tells_changes = uses_relay_changes(t.m_process_count);
    if (tells_changes)
        record_description(g.m_relay_history, m, now, answer.m_version);
    if (!tells_changes || !has_changes_since(g.m_relay_history, r.m_base))
    {
        ++t.m_counts.m_groups_in_full;
        answer.m_groups.push_back(std::move(m));
        return;
    }
    auto change = changes_since(g.m_relay_history, r.m_base, r.m_wants_lease);
    if (!change)
    {
        ++t.m_counts.m_groups_unchanged;
        return;
    }
    ++t.m_counts.m_groups_changed;
    change->m_index = static_cast<std::uint32_t>(r.m_index);
    answer.m_changes.push_back(std::move(*change));
}

void apply_relayed_group(session_task_state& t, service_group& g,
                         const relayed_group& relayed, const group_response& m)
{
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
    if (m.m_source != 0)
        remember_base(g.m_relay_bases,
                      {m.m_source, m.m_version, relayed.m_term,
                       relayed.m_primary, g.m_view.m_lease_until,
                       boot_now() - m.m_requested_at});
}

void apply_relayed_change(session_task_state& t, const relayed_change& change,
                          const group_response& m)
{
    const relay_query* const query = query_of(change, m.m_queries, m.m_source);
    if (query == nullptr)
    {
        log_event(event_id::group_change_refused,
                  {{"index", std::to_string(change.m_index)},
                   {"requested", std::to_string(m.m_queries.size())}});
        for (auto& [name, g] : t.m_groups)
            forget_base(g.m_relay_bases, m.m_source);
        return;
    }
    const auto found = t.m_groups.find(query->m_service);
    if (found == t.m_groups.end())
        return;
    service_group& g = found->second;
    apply_relayed_group(
        t, g, expand_change(change, *query, m.m_source, endpoint_ids(t, g)), m);
}

// An answer leaves out the endpoints that haven't replied since the last one.
// Their last reply may have come before the end of a time for which they were
// avoided.
void refresh_relayed_contacts(session_task_state& t, const service_group& g)
{
    for (auto& [id, p] : t.m_endpoint_pools)
        if (p.m_group == &g && p.m_relayed_contact_at != time_point{})
            record_relayed_contact(p, p.m_relayed_contact_at,
                                   p.m_open_connections);
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
    note_open_transactions(t, now);
    group_request m;
    const bool leads = asks_endpoints(t, now);
    const duration margin = leads ? duration(unrenewed_lease_margin)
                                  : duration(relayed_lease_request_margin);
    m.m_source = leads ? group_source::other_leaders : group_source::own_leader;
    bool urgent = false;
    for (const auto& [name, g] : t.m_groups)
        if (needs_relay(g.m_view, g.m_used_at, now, margin))
        {
            m.m_queries.push_back(
                uses_relay_changes(t.m_process_count)
                    ? make_relay_query(name, g.m_relay_bases, g.m_view, now)
                    : relay_query{name, {}, false});
            urgent = urgent || g.m_starved_since != time_point{};
        }
    const duration passed = now - t.m_relay_requested_at;
    if (m.m_queries.empty() ||
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
        if (found != t.m_groups.end())
            apply_relayed_group(t, found->second, relayed, m);
    }
    for (const relayed_change& change : m.m_changes)
        apply_relayed_change(t, change, m);
    for (const relay_query& query : m.m_queries)
    {
        const auto found = t.m_groups.find(query.m_service);
        if (found == t.m_groups.end())
            continue;
        if (uses_relay_changes(t.m_process_count))
            refresh_relayed_contacts(t, found->second);
        serve_waiting(t, found->second);
    }
}

void answer_peer_groups(session_task_state& t, const incoming_group_request& m)
{
    const time_point now = boot_now();
    outgoing_groups answer{m.m_exchange,
                           t.m_has_cell_leaders && asks_endpoints(t, now),
                           ++t.m_relay_version,
                           {},
                           {}};
    for (std::size_t i = 0; i < m.m_services.size(); ++i)
    {
        const auto found = t.m_groups.find(m.m_services[i]);
        if (!answer.m_is_leader || found == t.m_groups.end())
            continue;
        // Leaders that can't renew a lease must not keep each other asking.
        if (m.m_from_other_cell)
            found->second.m_asked_for_at = now;
        else
            note_use(found->second, now);
        add_group(t, answer,
                  {i, found->first,
                   i < m.m_versions.size() ? m.m_versions[i] : 0,
                   std::ranges::find(m.m_leases, i) != m.m_leases.end()},
                  found->second, now);
    }
    t.m_mailboxes.m_site.post(std::move(answer));
}

}
