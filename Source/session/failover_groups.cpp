#include <session/failover_task_state.hpp>

#include <algorithm>

#include <report/event.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// The time at which the leases of the old term have expired, counted from the
// last member that was fenced.
time_point leases_expire_at(const failover_group& g)
{
    time_point last{};
    for (const takeover_participant& m : g.m_members)
        last = std::max(last, m.m_member.m_fenced_at);
    return last + leader_lease_duration + leader_lease_clock_margin;
}

// Ends the wait for a promotion whose fence doesn't hold any more: a replica
// may have restarted, which ends its pause, and may hold newer commits than the
// successor.
void lose_fence(failover_task_state& t, const std::string& service,
                failover_group& g)
{
    ++t.m_counts.m_fences_lost;
    log_fence(event_id::takeover_fence_lost, service, g);
    fire(t, service, g, takeover_event::fence_lost);
}

// Polls the members of a takeover whose successor was chosen. From `due_at` on,
// fires `next` as soon as the fence is confirmed. A fence that is lost, or
// isn't confirmed within fencing_timeout, is renewed.
void advance_fenced(failover_task_state& t, const std::string& service,
                    failover_group& g, takeover_event next, time_point due_at,
                    time_point now)
{
    if (find_new_primary(g) != nullptr)
        return fire(t, service, g, takeover_event::primary_confirmed);
    poll_members(t, service, g, now);
    end_old_step_downs(g, now);
    const fence_state fence = check_fence(t, service, g, now);
    if (fence == fence_state::lost || now >= due_at + fencing_timeout)
        return lose_fence(t, service, g);
    if (fence == fence_state::confirmed && now >= due_at &&
        holds_duty(t.m_duty, now))
        fire(t, service, g, next);
}

void send_promotion_order(failover_task_state& t, const std::string& service,
                          failover_group& g)
{
    const time_point now = boot_now();
    g.m_next_action_at = now + order_retry_interval;
    if (!holds_duty(t.m_duty, now))
        return;
    // The earlier order may have begun a term without an answer that shows it.
    if (!g.m_ordered.m_endpoint.empty() &&
        g.m_ordered.m_endpoint != g.m_successor)
        g.m_newest_term = std::max(g.m_newest_term, g.m_ordered.m_term);
    g.m_ordered = {g.m_successor, now + promotion_order_lifetime,
                   g.m_old_term + 1};
    const std::uint64_t token = t.m_duty.m_seen->m_record.m_token;
    log_event(event_id::promotion_ordered, {{"service", service},
                                            {"endpoint", g.m_successor},
                                            {"term", std::to_string(g.m_term)},
                                            {"token", std::to_string(token)}});
    g.m_next_action_at = now + max_order_delay + order_retry_interval;
    g.m_last_order = {g.m_successor, now};
    t.m_send_promotion(
        {service, g.m_successor, t.m_settings.m_name, token},
        [&t, service, order = g.m_last_order](promotion_order_result outcome)
        {
            log_order_answered(t, service, order, outcome);
            failover_group& group = t.m_groups[service];
            if (group.m_state != takeover_state::ordering)
                return;
            if (outcome == promotion_order_result::accepted)
                return fire(t, service, group, takeover_event::ordered);
            if (outcome == promotion_order_result::not_running)
            {
                group.m_ordered = {};
                return fire(t, service, group,
                            takeover_event::successor_not_running);
            }
            group.m_next_action_at = boot_now() + order_retry_interval;
        });
}

void announce(failover_task_state& t, const std::string& service,
              failover_group& g)
{
    const takeover_participant* const lead = find_new_primary(g);
    if (lead == nullptr)
        return;
    const std::string& id = lead->m_endpoint.m_id;
    g.m_newest_term = std::max(g.m_newest_term, lead->m_member.m_status.m_term);
    ++t.m_promotions;
    log_event(event_id::takeover_done,
              {{"service", service},
               {"endpoint", id},
               {"term", std::to_string(lead->m_member.m_status.m_term)},
               {"last_order", g.m_last_order.m_endpoint},
               {"ms_since_last_order", describe_order_age(g, boot_now())}});
    t.m_boxes.m_session.post(primary_promoted{
        service, id, lead->m_member.m_status, lead->m_member.m_asked_at});
    g.m_step_downs.erase(id);
    if (g.m_old_primary == id || g.m_old_primary.empty())
        return;
    const time_point now = boot_now();
    pending_step_down& s = g.m_step_downs[g.m_old_primary];
    s = {};
    s.m_term = g.m_term;
    s.m_until = now + step_down_timeout;
    s.m_next_at = now + takeover_retry_delay;
}

// Fences the members again after one of them has left the fence.
void renew_fence(failover_task_state& t, const std::string& service,
                 failover_group& g)
{
    g.m_began_at = boot_now();
    g.m_next_action_at = g.m_began_at + order_retry_interval;
    for (takeover_participant& m : g.m_members)
        m.m_member.m_joined_late = false;
    fence_members(t, service, g);
}

void end_takeover(failover_task_state& t, failover_group& g)
{
    const time_point now = boot_now();
    g.m_next_action_at = now + takeover_retry_delay;
    const bool was_recorded = !g.m_successor.empty();
    g.m_successor.clear();
    if (find_new_primary(g) != nullptr ||
        find_ordered_primary(g, now) != nullptr)
        g.m_ordered = {};
    if (was_recorded && holds_duty(t.m_duty, now))
        record_duty(t.m_duty);
    // From now on they may copy the log of a primary.
    for (auto& [at, l] : g.m_log_locations)
        l.m_empty = false;
    // The session task may not have reported the result yet. Counting this as a
    // contact keeps the old report from starting another takeover at once.
    g.m_report.m_evidence.m_last_contact_at = now;
}

void run_action(failover_task_state& t, const std::string& service,
                failover_group& g, takeover_action action)
{
    switch (action)
    {
    case takeover_action::fence:
        return fence_members(t, service, g);
    case takeover_action::record:
        return record_duty(t.m_duty);
    case takeover_action::resume:
        return resume_members(t, service, g);
    case takeover_action::wait:
        return;
    case takeover_action::order:
        return send_promotion_order(t, service, g);
    case takeover_action::confirm:
        g.m_began_at = boot_now();
        return;
    case takeover_action::renew_fence:
        return renew_fence(t, service, g);
    case takeover_action::list_members:
        return list_members(t, service, g);
    case takeover_action::announce:
        return announce(t, service, g);
    case takeover_action::end_takeover:
        return end_takeover(t, g);
    }
}

bool can_hand_over(const failover_task_state& t, std::string_view service)
{
    return std::ranges::any_of(t.m_endpoints->m_endpoints,
                               [&](const auto& entry)
                               {
                                   return entry.second.m_service == service &&
                                          !is_leaving(*t.m_endpoints,
                                                      entry.second);
                               });
}

void check_primary(failover_task_state& t, const std::string& service,
                   failover_group& g, time_point now)
{
    if (g.m_report.m_service.empty() || now < g.m_next_action_at)
        return;
    primary_evidence e = g.m_report.m_evidence;
    const auto primary = t.m_endpoints->m_endpoints.find(g.m_report.m_primary);
    e.m_leaving = primary != t.m_endpoints->m_endpoints.end() &&
                  is_leaving(*t.m_endpoints, primary->second) &&
                  can_hand_over(t, service);
    takeover_reason reason = evaluate_primary(e, now);
    const std::string_view ordered = pending_endpoint(g.m_ordered, now);
    if (!ordered.empty() &&
        has_taken_effect(g.m_ordered, g.m_report.m_primary, g.m_report.m_term))
        g.m_ordered = {};
    else if (!ordered.empty())
        reason = takeover_reason::order_pending;
    if (reason != takeover_reason::none)
        begin_takeover(t, service, g, reason);
}

void send_step_down(failover_task_state& t, const std::string& service,
                    const site_endpoint& e, pending_step_down& s,
                    time_point now)
{
    s.m_next_at = now + takeover_retry_delay;
    s.m_connection = open_order_connection(t, e);
    if (!s.m_connection)
        return;
    s.m_connection->send(
        group_order::step_down, s.m_term, group_order_timeout,
        [&t, service, id = e.m_id](const std::optional<endpoint_status>& status)
        {
            pending_step_down& asked = t.m_groups[service].m_step_downs[id];
            asked.m_is_done = status.has_value();
            asked.m_next_at = boot_now() + takeover_retry_delay;
        });
}

// A replaced primary that was unreachable still leads its term until it learns
// of the next one.
void advance_step_downs(failover_task_state& t, const std::string& service,
                        failover_group& g, time_point now)
{
    std::erase_if(g.m_step_downs,
                  [&](const auto& entry)
                  {
                      const pending_step_down& s = entry.second;
                      const bool leads_again =
                          entry.first == g.m_report.m_primary &&
                          g.m_report.m_term >= s.m_term;
                      return s.m_is_done || leads_again || now >= s.m_until;
                  });
    for (auto& [id, s] : g.m_step_downs)
    {
        const auto e = t.m_endpoints->m_endpoints.find(id);
        const bool is_pending = s.m_connection && s.m_connection->is_open();
        if (now >= s.m_next_at && !is_pending &&
            e != t.m_endpoints->m_endpoints.end())
            send_step_down(t, service, e->second, s, now);
    }
}

// A replica that joined after the members were fenced may take part in commits
// that none of them has received.
void advance_reviewing(failover_task_state& t, const std::string& service,
                       failover_group& g, time_point now)
{
    if (find_new_primary(g) != nullptr)
        return fire(t, service, g, takeover_event::primary_confirmed);
    poll_members(t, service, g, now);
    end_old_step_downs(g, now);
    const fence_state fence = check_fence(t, service, g, now);
    if (fence == fence_state::confirmed)
        g.m_unconfirmed_since = {};
    else if (g.m_unconfirmed_since == time_point{})
        g.m_unconfirmed_since = now;
    const bool is_overdue = g.m_unconfirmed_since != time_point{} &&
                            now - g.m_unconfirmed_since >= fencing_timeout;
    if (fence == fence_state::lost || is_overdue)
    {
        g.m_unconfirmed_since = {};
        return lose_fence(t, service, g);
    }
    if (g.m_members_listed && fence == fence_state::confirmed &&
        holds_duty(t.m_duty, now))
        return fire(t, service, g, takeover_event::members_confirmed);
    if (now >= g.m_next_action_at)
        fire(t, service, g, takeover_event::timed_out);
}

void advance_group(failover_task_state& t, const std::string& service,
                   failover_group& g, time_point now)
{
    if (g.m_state != takeover_state::led)
        update_members(t, service, g);
    switch (g.m_state)
    {
    case takeover_state::led:
        advance_step_downs(t, service, g, now);
        check_primary(t, service, g, now);
        if (g.m_state == takeover_state::led)
            advance_pauses(t, service, g, now);
        return;
    case takeover_state::touching:
        return advance_fencing(t, service, g, now);
    case takeover_state::recording:
        return;
    case takeover_state::waiting:
        return advance_fenced(t, service, g, takeover_event::leases_expired,
                              leases_expire_at(g), now);
    case takeover_state::reviewing:
        return advance_reviewing(t, service, g, now);
    case takeover_state::ordering:
        return advance_fenced(t, service, g, takeover_event::timed_out,
                              g.m_next_action_at, now);
    case takeover_state::confirming:
        return advance_fenced(t, service, g, takeover_event::timed_out,
                              g.m_began_at + promotion_timeout, now);
    }
}

}

void fire(failover_task_state& t, const std::string& service, failover_group& g,
          takeover_event event)
{
    t.m_charts.m_takeover.fire(g.m_state, event,
                               [&](takeover_action action)
                               {
                                   run_action(t, service, g, action);
                               });
}

void advance_groups(failover_task_state& t, time_point now)
{
    if (!t.m_config || !t.m_endpoints || t.m_stopping ||
        !holds_duty(t.m_duty, now))
        return;
    update_log_locations(t);
    for (auto& [service, g] : t.m_groups)
        advance_group(t, service, g, now);
}

void handle_orders_recorded(failover_task_state& t)
{
    for (auto& [service, g] : t.m_groups)
        if (g.m_state == takeover_state::recording)
            fire(t, service, g, takeover_event::recorded);
}

void handle_duty_lost(failover_task_state& t)
{
    for (auto& [service, g] : t.m_groups)
    {
        fire(t, service, g, takeover_event::duty_lost);
        g.m_report = {};
    }
}

}
