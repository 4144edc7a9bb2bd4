#include <decide/group_relay.hpp>

#include <algorithm>

namespace bluebellspoke
{

bool needs_relay(const group_view& g, time_point used_at, time_point now,
                 duration margin)
{
    return now - used_at < relayed_use_time && needs_status(g, now, margin);
}

relayed_group make_relayed_group(const group_view& g, time_point now)
{
    relayed_group m;
    m.m_term = g.m_term;
    m.m_primary = g.m_primary;
    if (g.m_primary.empty())
        return m;
    m.m_primary_seen_ago = now - g.m_primary_seen_at;
    if (now < g.m_lease_until)
        m.m_lease_proven_ago = now + leader_lease_duration - g.m_lease_until;
    if (!g.m_samples.empty())
    {
        m.m_position = g.m_samples.back().m_position;
        m.m_position_asked_ago = now - g.m_samples.back().m_asked_at;
    }
    return m;
}

bool adopt_relayed_group(group_view& g, const relayed_group& m,
                         time_point requested_at)
{
    if (m.m_term < g.m_term)
        return false;
    const bool is_new_term = m.m_term > g.m_term;
    if (is_new_term)
        note_new_term(g, requested_at - m.m_primary_seen_ago);
    if (m.m_primary.empty())
    {
        if (is_new_term)
            start_term(g, m.m_term, {});
        return is_new_term;
    }
    const time_point seen_at = requested_at - m.m_primary_seen_ago;
    // This process has seen since then that the endpoint doesn't lead.
    if (!is_new_term && g.m_primary.empty() && seen_at <= g.m_invalidated_at)
        return false;
    const bool changed = is_new_term || g.m_primary != m.m_primary;
    // Two primaries of one term don't exist; what was seen last goes.
    if (changed && !is_new_term && seen_at <= g.m_primary_seen_at)
        return false;
    if (changed)
        start_term(g, m.m_term, m.m_primary);
    g.m_primary_seen_at = std::max(g.m_primary_seen_at, seen_at);
    if (m.m_lease_proven_ago)
        g.m_lease_until =
            std::max(g.m_lease_until, requested_at - *m.m_lease_proven_ago +
                                          leader_lease_duration);
    if (m.m_position)
        record_sample(g, *m.m_position, requested_at - m.m_position_asked_ago);
    return changed;
}

}
