#include <session/failover_task_state.hpp>

#include <algorithm>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

std::uint32_t sync_replicas(const failover_task_state& t,
                            std::string_view service)
{
    const auto found = t.m_config->m_services.find(service);
    return found == t.m_config->m_services.end()
               ? 0
               : found->second.m_sync_replicas;
}

// Returns true if the takeover is needless as soon as the primary answers.
bool yields_to_primary(const failover_group& g)
{
    return g.m_reason == takeover_reason::silent ||
           g.m_reason == takeover_reason::missing ||
           g.m_reason == takeover_reason::order_pending;
}

const takeover_participant* find_primary(const failover_group& g,
                                         term_number lowest_term)
{
    const auto found = std::ranges::find_if(
        g.m_members,
        [&](const takeover_participant& m)
        {
            return m.m_member.m_reachable &&
                   m.m_member.m_status.m_role == endpoint_role::primary &&
                   m.m_member.m_status.m_term >= lowest_term;
        });
    return found == g.m_members.end() ? nullptr : &*found;
}

std::string describe_member(const takeover_participant& m)
{
    const endpoint_status& s = m.m_member.m_status;
    if (!m.m_member.m_reachable)
        return m.m_endpoint.m_id + " out of reach";
    return m.m_endpoint.m_id + " at " + std::to_string(s.m_position.m_term) +
           "." + std::to_string(s.m_position.m_offset) +
           (m.m_member.m_stepped_down
                ? " stepped down"
                : " paused for " + std::to_string(s.m_paused_term));
}

}

void log_fence(event_id id, const std::string& service, const failover_group& g)
{
    std::string members;
    for (const takeover_participant& m : g.m_members)
        members.append(members.empty() ? "" : "; ").append(describe_member(m));
    log_event(id, {{"service", service},
                   {"term", std::to_string(g.m_term)},
                   {"successor", g.m_successor},
                   {"members", members}});
}

std::unique_ptr<order_connection> open_order_connection(failover_task_state& t,
                                                        const site_endpoint& e)
{
    try
    {
        return std::make_unique<order_connection>(
            t.m_loop, t.m_session_codec, e, first_workspace(*t.m_config));
    }
    catch (const loop_error& failure)
    {
        log_event(event_id::endpoint_unreachable,
                  {{"endpoint", e.m_id}, {"failure", failure.what()}});
        return {};
    }
    catch (const line_field_error& failure)
    {
        log_event(event_id::endpoint_unreachable,
                  {{"endpoint", e.m_id}, {"failure", failure.what()}});
        return {};
    }
}

takeover_participant* find_member(failover_group& g, std::string_view id)
{
    const auto found = std::ranges::find_if(g.m_members,
                                            [&](const takeover_participant& m)
                                            {
                                                return m.m_endpoint.m_id == id;
                                            });
    return found == g.m_members.end() ? nullptr : &*found;
}

void send_group_order(failover_task_state& t, const std::string& service,
                      failover_group& g, takeover_participant& m,
                      group_order order)
{
    if (m.m_reply_pending)
        return;
    if (!m.m_connection || !m.m_connection->is_open())
        m.m_connection = open_order_connection(t, m.m_endpoint);
    if (!m.m_connection)
        return;
    m.m_reply_pending = true;
    m.m_pause_sent = m.m_pause_sent || order == group_order::pause;
    m.m_connection->send(
        order, g.m_term, group_order_timeout,
        [&t, service, order, id = m.m_endpoint.m_id, term = g.m_term,
         asked_at = boot_now()](const std::optional<endpoint_status>& status)
        {
            takeover_participant* const member =
                find_member(t.m_groups[service], id);
            if (member == nullptr)
                return;
            member->m_reply_pending = false;
            member->m_member.m_reachable = status.has_value();
            if (!status)
                return;
            if (order == group_order::step_down &&
                status->m_role == endpoint_role::replica)
                member->m_member.m_stepped_down = true;
            record_response(member->m_member, *status, term, asked_at,
                            boot_now());
        });
}

namespace
{

// A primary that a takeover yields to isn't told to step down.
group_order fencing_order(const failover_group& g, const takeover_member& m)
{
    if (m.m_status.m_role == endpoint_role::replica)
        return group_order::pause;
    return yields_to_primary(g) && m.m_listed ? group_order::status
                                              : group_order::step_down;
}

}

void fence_members(failover_task_state& t, const std::string& service,
                   failover_group& g)
{
    const std::vector<takeover_member> members = decision_members(g);
    g.m_term = next_term(members, g.m_term);
    for (takeover_participant& m : g.m_members)
    {
        m.m_member.m_fence_lost = false;
        const takeover_member& seen = m.m_member;
        if (seen.m_reachable)
            g.m_old_term = std::max(g.m_old_term, seen.m_status.m_term);
        group_order order = group_order::status;
        if (seen.m_reachable && !is_fenced(seen, g.m_term))
            order = fencing_order(g, seen);
        send_group_order(t, service, g, m, order);
    }
}

void begin_takeover(failover_task_state& t, const std::string& service,
                    failover_group& g, takeover_reason reason)
{
    ++t.m_counts.m_begun[reason];
    g.m_reason = reason;
    g.m_began_at = boot_now();
    g.m_next_action_at = g.m_began_at;
    g.m_old_term = g.m_report.m_term;
    g.m_term = g.m_old_term + 1;
    g.m_old_primary = g.m_report.m_primary;
    if (g.m_old_primary.empty() && g.m_last_primary_term == g.m_old_term)
        g.m_old_primary = g.m_last_primary;
    g.m_resumed.clear();
    collect_members(t, service, g);
    log_event(event_id::takeover_begun,
              {{"service", service},
               {"reason", std::string(to_string(reason))},
               {"primary", g.m_old_primary},
               {"term", std::to_string(g.m_term)},
               {"members", std::to_string(g.m_members.size())},
               {"places", std::to_string(g.m_size)},
               {"list_revision", std::to_string(t.m_endpoints->m_revision)},
               {"published_list_confirmed_ms_ago",
                describe_confirmation(*t.m_endpoints, g.m_began_at)}});
    fire(t, service, g, takeover_event::primary_suspected);
}

void poll_members(failover_task_state& t, const std::string& service,
                  failover_group& g, time_point now)
{
    if (now < g.m_next_poll_at)
        return;
    g.m_next_poll_at = now + fence_poll_interval;
    for (takeover_participant& m : g.m_members)
    {
        const endpoint_status& seen = m.m_member.m_status;
        // It has answered only after the others were fenced.
        const bool leads_old_term = m.m_member.m_reachable &&
                                    seen.m_role == endpoint_role::primary &&
                                    seen.m_term <= g.m_old_term;
        send_group_order(t, service, g, m,
                         leads_old_term ? group_order::step_down
                                        : group_order::status);
    }
}

void end_old_step_downs(failover_group& g, time_point now)
{
    const term_number newest = newest_known_term(g);
    for (takeover_participant& m : g.m_members)
        end_old_step_down(m.m_member, newest, g.m_term, now);
}

const takeover_participant* find_new_primary(const failover_group& g)
{
    return find_primary(g, g.m_old_term + 1);
}

const takeover_participant* find_ordered_primary(const failover_group& g,
                                                 time_point now)
{
    if (pending_endpoint(g.m_ordered, now).empty())
        return nullptr;
    const takeover_participant* const lead =
        find_primary(g, g.m_ordered.m_term);
    return lead != nullptr &&
                   has_taken_effect(g.m_ordered, lead->m_endpoint.m_id,
                                    lead->m_member.m_status.m_term)
               ? lead
               : nullptr;
}

fence_state check_fence(const failover_task_state& t,
                        const std::string& service, const failover_group& g,
                        time_point now)
{
    return evaluate_fence(decision_members(g), g.m_term,
                          sync_replicas(t, service), g.m_successor,
                          now - max_fence_age, end_of_newest_term(g, now));
}

void advance_fencing(failover_task_state& t, const std::string& service,
                     failover_group& g, time_point now)
{
    end_old_step_downs(g, now);
    const std::string_view ordered = pending_endpoint(g.m_ordered, now);
    const bool may_yield = yields_to_primary(g) && ordered.empty();
    // The session task has had contact with the primary meanwhile.
    const primary_evidence& e = g.m_report.m_evidence;
    if (may_yield && e.m_known && e.m_last_contact_at > g.m_began_at)
        return fire(t, service, g, takeover_event::given_up);
    const takeover_participant* live = find_primary(g, g.m_report.m_term);
    // Sessions don't use an endpoint that isn't listed.
    if (live != nullptr && !live->m_member.m_listed)
        live = nullptr;
    const takeover_participant* const lead =
        may_yield ? live : find_ordered_primary(g, now);
    if (lead != nullptr)
    {
        t.m_boxes.m_session.post(primary_promoted{
            service, lead->m_endpoint.m_id, lead->m_member.m_status,
            lead->m_member.m_asked_at});
        return fire(t, service, g, takeover_event::given_up);
    }
    const std::vector<takeover_member> members = decision_members(g);
    const auto successor =
        choose_successor(members, g.m_term, sync_replicas(t, service), ordered,
                         end_of_newest_term(g, now));
    // A member that hasn't answered yet may have the longer log.
    const bool waits =
        now - g.m_began_at < group_order_timeout &&
        std::ranges::any_of(g.m_members,
                            [&](const takeover_participant& m)
                            {
                                return m.m_member.m_fenced_at == time_point{};
                            });
    // The members stay fenced until the order has taken effect or expired. Then
    // the takeover yields.
    const bool will_yield =
        yields_to_primary(g) && live != nullptr && !ordered.empty();
    // A member may have answered in a newer term since it was told to pause.
    const bool is_current = update_old_term(members, g.m_old_term, g.m_term);
    if (successor && is_current && !waits && !will_yield)
    {
        g.m_successor = *successor;
        log_fence(event_id::takeover_touched, service, g);
        return fire(t, service, g, takeover_event::fenced);
    }
    if (now - g.m_began_at >= fencing_timeout && ordered.empty())
        return fire(t, service, g, takeover_event::given_up);
    if (now >= g.m_next_action_at || !is_current)
    {
        g.m_next_action_at = now + order_retry_interval;
        fence_members(t, service, g);
    }
}

}
