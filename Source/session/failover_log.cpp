#include <session/failover_task_state.hpp>

#include <report/event.hpp>
#include <session/milliseconds_of.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

void log_member(const std::string& service, const failover_group& g,
                const site_endpoint& e, std::string_view change,
                std::uint64_t revision)
{
    log_event(event_id::takeover_member_changed,
              {{"service", service},
               {"endpoint", e.m_id},
               {"change", std::string(change)},
               {"state", std::string(to_string(g.m_state))},
               {"successor", g.m_successor},
               {"term", std::to_string(g.m_term)},
               {"draining", e.m_draining ? "yes" : "no"},
               {"list_revision", std::to_string(revision)}});
}

// Empty if the list shows the endpoint as before.
std::string_view change_of(const site_endpoint* before, const site_endpoint& e)
{
    if (before == nullptr)
        return "listed";
    if (before->m_started_ms != e.m_started_ms)
        return "started again";
    if (e.m_draining && !before->m_draining)
        return "draining";
    return {};
}

const site_endpoint* find_endpoint(const endpoint_snapshot& list,
                                   std::string_view id,
                                   std::string_view service)
{
    const auto found = list.m_endpoints.find(id);
    return found != list.m_endpoints.end() && found->second.m_service == service
               ? &found->second
               : nullptr;
}

void log_group_members(failover_task_state& t, const std::string& service,
                       const failover_group& g, const endpoint_snapshot& next)
{
    for (const auto& [id, e] : t.m_endpoints->m_endpoints)
        if (e.m_service == service &&
            find_endpoint(next, id, service) == nullptr)
            log_member(service, g, e, "vanished", next.m_revision);
    for (const auto& [id, e] : next.m_endpoints)
    {
        if (e.m_service != service)
            continue;
        const site_endpoint* const before =
            find_endpoint(*t.m_endpoints, id, service);
        const std::string_view change = change_of(before, e);
        if (!change.empty())
            log_member(service, g, e, change, next.m_revision);
        t.m_counts.m_joined += before == nullptr ? 1U : 0U;
    }
}

}

std::string_view to_string(promotion_order_result result) noexcept
{
    switch (result)
    {
    case promotion_order_result::accepted:
        return "accepted";
    case promotion_order_result::not_running:
        return "not_running";
    case promotion_order_result::refused:
        return "refused";
    case promotion_order_result::unknown:
        break;
    }
    return "unknown";
}

std::string describe_confirmation(const endpoint_snapshot& list, time_point now)
{
    return list.m_confirmed_at == time_point{}
               ? "never"
               : milliseconds_of(now - list.m_confirmed_at);
}

void log_members_changed(failover_task_state& t, const endpoint_snapshot& next)
{
    if (!t.m_endpoints)
        return;
    for (const auto& [service, g] : t.m_groups)
        if (g.m_state != takeover_state::led)
            log_group_members(t, service, g, next);
}

void log_order_answered(failover_task_state& t, const std::string& service,
                        const sent_order& order, promotion_order_result result)
{
    ++t.m_counts.m_orders[result];
    log_event(event_id::promotion_answered,
              {{"service", service},
               {"endpoint", order.m_endpoint},
               {"result", std::string(to_string(result))},
               {"answered_after_ms", milliseconds_of(boot_now() - order.m_at)},
               {"state", std::string(to_string(t.m_groups[service].m_state))}});
}

std::string describe_order_age(const failover_group& g, time_point now)
{
    return g.m_last_order.m_endpoint.empty()
               ? "none"
               : milliseconds_of(now - g.m_last_order.m_at);
}

}
