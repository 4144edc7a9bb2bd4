#include <session/failover_task_state.hpp>

#include <algorithm>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// The interval between two attempts to resume a replica.
constexpr std::chrono::milliseconds resume_retry_interval{500};

void resume_replica(failover_task_state& t, const std::string& service,
                    failover_group& g, const site_endpoint& e)
{
    std::unique_ptr<order_connection>& connection = g.m_resumed[e.m_id];
    connection = open_order_connection(t, e);
    if (!connection)
        return;
    log_event(event_id::replica_resumed,
              {{"service", service}, {"endpoint", e.m_id}});
    connection->send(group_order::resume, 0, group_order_timeout,
                     [](const std::optional<endpoint_status>&) {});
}

}

void resume_members(failover_task_state& t, const std::string& service,
                    failover_group& g)
{
    log_event(event_id::takeover_given_up,
              {{"service", service}, {"term", std::to_string(g.m_term)}});
    for (takeover_participant& m : g.m_members)
    {
        const bool is_connected = m.m_member.m_reachable && m.m_connection &&
                                  m.m_connection->is_open();
        if (is_connected &&
            m.m_member.m_status.m_role == endpoint_role::replica)
            m.m_connection->send(group_order::resume, 0, group_order_timeout,
                                 [](const std::optional<endpoint_status>&) {});
        else if (m.m_pause_sent)
        {
            // An order that is still on its way there is dropped.
            m.m_connection.reset();
            m.m_reply_pending = false;
            resume_replica(t, service, g, m.m_endpoint);
            // advance_pauses closes the connection with its next attempt.
            g.m_next_resume_at = boot_now() + resume_retry_interval;
        }
    }
}

void advance_pauses(failover_task_state& t, const std::string& service,
                    failover_group& g, time_point now)
{
    if (now < g.m_next_resume_at || g.m_report.m_primary.empty() ||
        !pending_endpoint(g.m_ordered, now).empty())
        return;
    g.m_resumed.clear();
    for (const std::string& id : g.m_report.m_paused_replicas)
    {
        const auto e = t.m_endpoints->m_endpoints.find(id);
        if (e == t.m_endpoints->m_endpoints.end())
            continue;
        g.m_next_resume_at = now + resume_retry_interval;
        resume_replica(t, service, g, e->second);
    }
}

}
