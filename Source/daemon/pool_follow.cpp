#include <daemon/pool_state.hpp>

#include <algorithm>
#include <chrono>

#include <endpoint/endpoint_sql.hpp>
#include <report/event.hpp>

namespace bluebellspoke
{

namespace
{

constexpr std::chrono::milliseconds order_patience{1000};

void order_follow(pool_endpoint& e, const pool_endpoint& leader,
                  term_number term)
{
    log_event(event_id::follow_ordered, {{"group", e.m_group.m_name},
                                         {"endpoint", e.m_setting.m_name},
                                         {"primary", leader.m_setting.m_name},
                                         {"term", std::to_string(term)}});
    e.m_refollowed_at = monotonic_clock::now();
    send_order(e, follow_query(term, leader.m_setting.m_address),
               [&e, term](pg_reply& reply)
               {
                   if (!reply.m_error)
                       e.m_told_term = term;
               });
}

std::vector<term_number> told_terms(const pool_group& g, term_number term)
{
    // The daemon that promoted tells everybody once; others only mend what
    // they see fenced below the leader's term.
    const bool promoted_here = g.m_watch.m_promoted_term == term;
    std::vector<term_number> told;
    for (const auto& e : g.m_endpoints)
        told.push_back(promoted_here ? e->m_told_term : term);
    return told;
}

bool may_order(pool_endpoint& e, time_point now, duration delay)
{
    if (!e.m_stray_since)
        e.m_stray_since = now;
    if (!e.m_reachable || now - *e.m_stray_since < delay)
        return false;
    return !e.m_order || now - e.m_order->m_sent_at >= order_patience;
}

// An order while the endpoint is still connecting would only set it back.
void add_deaf(pool_group& g, std::span<const voter> voters, std::size_t leader,
              time_point now, std::vector<std::size_t>& strays)
{
    for (const std::size_t i : find_cut_off(voters, leader, now))
    {
        const bool due =
            now - g.m_endpoints[i]->m_refollowed_at >= refollow_interval;
        const bool known =
            std::find(strays.begin(), strays.end(), i) != strays.end();
        if (due && !known)
            strays.push_back(i);
    }
}

}

void gather_strays(pool_group& g, std::span<const voter> voters, time_point now)
{
    const std::size_t leader = *find_leader(voters);
    const term_number term = voters[leader].m_state->m_fence;
    const bool promoted_here = g.m_watch.m_promoted_term == term;
    const duration delay = promoted_here ? duration::zero() : own_delay(g);
    auto strays = find_stale_followers(voters, leader, told_terms(g, term));
    add_deaf(g, voters, leader, now, strays);
    std::vector<bool> is_stray(voters.size(), false);
    for (const std::size_t i : strays)
    {
        is_stray[i] = true;
        if (may_order(*g.m_endpoints[i], now, delay))
            order_follow(*g.m_endpoints[i], *g.m_endpoints[leader], term);
    }
    for (std::size_t i = 0; i < voters.size(); ++i)
        if (!is_stray[i])
            g.m_endpoints[i]->m_stray_since.reset();
}

}
