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
    for (const touched_member& m : g.m_members)
        last = std::max(last, m.m_touched_at);
    return last + lease_time + lease_margin;
}

void check_lease_expiry(failover_task_state& t, const std::string& service,
                        failover_group& g, time_point now)
{
    if (now >= leases_expire_at(g) && holds_duty(t, now))
        fire(t, service, g, takeover_event::lease_over);
}

void send_promotion_order(failover_task_state& t, const std::string& service,
                          failover_group& g)
{
    const time_point now = boot_now();
    g.m_next_at = now + round_pause;
    if (!holds_duty(t, now))
        return;
    g.m_may_be_under_way = true;
    const std::uint64_t token = t.m_duty->m_record.m_token;
    log_event(event_id::promotion_ordered, {{"service", service},
                                            {"endpoint", g.m_successor},
                                            {"term", std::to_string(g.m_term)},
                                            {"token", std::to_string(token)}});
    g.m_next_at = now + order_time + round_pause;
    t.m_order({service, g.m_successor, t.m_settings.m_name, token},
              [&t, service](order_outcome outcome)
              {
                  failover_group& group = t.m_groups[service];
                  if (group.m_state != takeover_state::ordering)
                      return;
                  if (outcome == order_outcome::taken)
                      return fire(t, service, group, takeover_event::ordered);
                  if (outcome == order_outcome::not_running)
                  {
                      group.m_may_be_under_way = false;
                      return fire(t, service, group,
                                  takeover_event::impossible);
                  }
                  group.m_next_at = boot_now() + round_pause;
              });
}

void request_successor_status(failover_task_state& t,
                              const std::string& service, failover_group& g)
{
    if (touched_member* const m = find_member(g, g.m_successor))
        ask_member(t, service, g, *m, group_order::status);
}

void check_confirmation(failover_task_state& t, const std::string& service,
                        failover_group& g, time_point now)
{
    if (is_led(g))
        return fire(t, service, g, takeover_event::leads);
    if (now - g.m_began_at >= lead_limit)
        return fire(t, service, g, takeover_event::unanswered);
    if (now >= g.m_next_at)
    {
        g.m_next_at = now + failover_tick;
        request_successor_status(t, service, g);
    }
}

void announce(failover_task_state& t, const std::string& service,
              failover_group& g)
{
    const touched_member* const lead = find_member(g, g.m_successor);
    if (lead == nullptr)
        return;
    ++t.m_promotions;
    log_event(event_id::takeover_done,
              {{"service", service},
               {"endpoint", g.m_successor},
               {"term", std::to_string(lead->m_member.m_status.m_term)}});
    t.m_boxes.m_session.post(primary_promoted{
        service, g.m_successor, lead->m_member.m_status, boot_now()});
    if (g.m_old_primary != g.m_successor && !g.m_old_primary.empty())
        g.m_step_down_until = boot_now() + step_down_span;
}

void resume_members(const std::string& service, failover_group& g)
{
    log_event(event_id::takeover_given_up,
              {{"service", service}, {"term", std::to_string(g.m_term)}});
    for (touched_member& m : g.m_members)
        if (m.m_member.m_reachable &&
            m.m_member.m_status.m_role == endpoint_role::replica && m.m_call &&
            m.m_call->is_open())
            m.m_call->send(group_order::resume, 0, order_limit,
                           [](const std::optional<endpoint_status>&) {});
}

void end_takeover(failover_task_state& t, failover_group& g)
{
    g.m_next_at = boot_now() + given_up_pause;
    if (!g.m_may_be_under_way || is_led(g))
    {
        g.m_may_be_under_way = false;
        g.m_successor.clear();
        if (holds_duty(t, boot_now()))
            record_orders(t);
    }
    // The session task may not have reported the result yet. Counting this as a
    // contact keeps the old report from starting another takeover at once.
    g.m_report.m_evidence.m_last_sign = boot_now();
}

void run_action(failover_task_state& t, const std::string& service,
                failover_group& g, takeover_action action)
{
    switch (action)
    {
    case takeover_action::touch:
        return touch(t, service, g);
    case takeover_action::record:
        return record_orders(t);
    case takeover_action::resume:
        return resume_members(service, g);
    case takeover_action::wait:
        return;
    case takeover_action::order:
        return send_promotion_order(t, service, g);
    case takeover_action::confirm:
        g.m_began_at = boot_now();
        g.m_next_at = {};
        return;
    case takeover_action::announce:
        return announce(t, service, g);
    case takeover_action::let_go:
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
    if (g.m_report.m_service.empty() || now < g.m_next_at)
        return;
    primary_evidence e = g.m_report.m_evidence;
    const auto primary = t.m_endpoints->m_endpoints.find(g.m_report.m_primary);
    e.m_leaving = primary != t.m_endpoints->m_endpoints.end() &&
                  is_leaving(*t.m_endpoints, primary->second) &&
                  can_hand_over(t, service);
    takeover_reason reason = judge_primary(e, now);
    if (g.m_may_be_under_way && reason == takeover_reason::none && !e.m_known)
        reason = takeover_reason::missing;
    if (reason != takeover_reason::none)
        begin_takeover(t, service, g, reason);
}

// A replaced primary that was unreachable still leads its term until it learns
// of the next one.
void advance_step_down(failover_task_state& t, const std::string& service,
                       failover_group& g, time_point now)
{
    if (now >= g.m_step_down_until)
    {
        g.m_step_down.reset();
        return;
    }
    const auto old = t.m_endpoints->m_endpoints.find(g.m_old_primary);
    if (now < g.m_next_at || g.m_step_down ||
        old == t.m_endpoints->m_endpoints.end())
        return;
    g.m_next_at = now + given_up_pause;
    g.m_step_down = open_call(t, old->second);
    if (!g.m_step_down)
        return;
    g.m_step_down->send(
        group_order::step_down, g.m_term, order_limit,
        [&t, service](const std::optional<endpoint_status>& status)
        {
            failover_group& group = t.m_groups[service];
            if (status)
                group.m_step_down_until = {};
            else
                group.m_next_at = boot_now() + given_up_pause;
        });
}

void advance_group(failover_task_state& t, const std::string& service,
                   failover_group& g, time_point now)
{
    switch (g.m_state)
    {
    case takeover_state::led:
        if (g.m_step_down && !g.m_step_down->is_open())
            g.m_step_down.reset();
        advance_step_down(t, service, g, now);
        return check_primary(t, service, g, now);
    case takeover_state::touching:
        return tend_touching(t, service, g, now);
    case takeover_state::recording:
        return;
    case takeover_state::waiting:
        return check_lease_expiry(t, service, g, now);
    case takeover_state::ordering:
        if (now >= g.m_next_at)
            fire(t, service, g, takeover_event::unanswered);
        return;
    case takeover_state::confirming:
        return check_confirmation(t, service, g, now);
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

void update_places(failover_task_state& t)
{
    const time_point now = boot_now();
    for (const auto& [id, e] : t.m_endpoints->m_endpoints)
    {
        group_place& place = t.m_groups[e.m_service].m_places[e.m_address];
        place.m_seen_at = now;
        place.m_left = e.m_draining;
    }
    for (auto& [service, g] : t.m_groups)
    {
        g.m_size =
            std::max(g.m_size, static_cast<std::uint32_t>(g.m_places.size()));
        std::erase_if(g.m_places,
                      [&g = g, now](const auto& entry)
                      {
                          const group_place& p = entry.second;
                          const duration age = p.m_left
                                                   ? duration(left_place_age)
                                                   : duration(lost_place_age);
                          const bool over = now - p.m_seen_at >= age;
                          g.m_size -= over ? 1U : 0U;
                          return over;
                      });
    }
}

void tend_groups(failover_task_state& t, time_point now)
{
    if (!t.m_config || !t.m_endpoints || t.m_stopping || !holds_duty(t, now))
        return;
    update_places(t);
    for (auto& [service, g] : t.m_groups)
        advance_group(t, service, g, now);
}

void note_recorded(failover_task_state& t)
{
    for (auto& [service, g] : t.m_groups)
        if (g.m_state == takeover_state::recording)
            fire(t, service, g, takeover_event::recorded);
}

void note_duty_lost(failover_task_state& t)
{
    for (auto& [service, g] : t.m_groups)
        fire(t, service, g, takeover_event::duty_lost);
}

}
