#include <session/site_task_state.hpp>

#include <algorithm>
#include <utility>
#include <vector>

#include <report/event.hpp>
#include <session/milliseconds_of.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

void run_action(site_task_state& t, restart_check_action action);

void fire(site_task_state& t, restart_check_event event)
{
    t.m_charts.m_restart_check.fire(t.m_cell.m_restart_check_state, event,
                                    [&](restart_check_action action)
                                    {
                                        run_action(t, action);
                                    });
}

void log_result(const site_task_state& t, std::string_view result,
                std::string_view member)
{
    log_event(
        event_id::restart_checked,
        {{"cell", t.m_settings.m_zone},
         {"result", std::string(result)},
         {"member", std::string(member)},
         {"members", std::to_string(t.m_cell.m_restart_check.m_members.size())},
         {"attempt", std::to_string(t.m_cell.m_restart_check.m_attempt)},
         {"age_ms", milliseconds_of(boot_now() - t.m_started_at)}});
}

void apply_statement(site_task_state& t, const std::string& member,
                     const restart_statement& s)
{
    switch (record_statement(t.m_cell.m_restart_check, member, s))
    {
    case restart_finding::incomplete:
        return;
    case restart_finding::complete:
        return fire(t, restart_check_event::complete);
    case restart_finding::refuted:
        log_result(t, "a member may hold a vote", member);
        return fire(t, restart_check_event::refuted);
    }
}

restart_statement own_statement(const site_task_state& t)
{
    return {t.m_incarnation, !t.m_cell.m_has_requested_votes,
            t.m_cell.m_was_member.value_or(false)};
}

void ask_member(site_task_state& t, site_peer& p, std::string name)
{
    send_to_peer(
        t, *p.m_client, peer_restart_request(),
        [&t, name = std::move(name), state = t.m_cell.m_restart_check_state,
         attempt = t.m_cell.m_restart_check.m_attempt](
            std::optional<peer_message>& answer)
        {
            const auto* m =
                answer ? std::get_if<peer_restart>(&*answer) : nullptr;
            const bool is_current =
                state == t.m_cell.m_restart_check_state &&
                attempt == t.m_cell.m_restart_check.m_attempt;
            if (!is_current)
                return;
            // The round can't be completed any more.
            if (m == nullptr || m->m_name != name)
                return fire(t, restart_check_event::unanswered);
            apply_statement(
                t, name, {m->m_incarnation, m->m_is_unused, m->m_was_member});
        });
}

void ask_members(site_task_state& t)
{
    // An answer may end the round while others are being asked.
    const auto members = t.m_cell.m_restart_check.m_members;
    for (const std::string& name : members)
    {
        const auto member = t.m_members.find(name);
        if (name == t.m_settings.m_name || member == t.m_members.end())
            continue;
        const auto p = t.m_peers.find(to_string(member->second.m_address));
        if (p != t.m_peers.end())
            ask_member(t, p->second, name);
    }
    apply_statement(t, t.m_settings.m_name, own_statement(t));
}

// A member that isn't in the list could hold votes without being asked.
void read_members(site_task_state& t)
{
    t.m_store.m_list(
        stored_kind::members, false,
        [&t, attempt = t.m_cell.m_restart_check.m_attempt](store_answer& a)
        {
            const cell_membership& c = t.m_cell;
            if (c.m_restart_check_state != restart_check_state::reading ||
                attempt != c.m_restart_check.m_attempt)
                return;
            const bool same = !a.m_failure &&
                              lists_same_members(t, a.m_changes) &&
                              cell_members(t) == c.m_restart_check.m_members;
            fire(t, same ? restart_check_event::same_members
                         : restart_check_event::unanswered);
        });
}

void run_action(site_task_state& t, restart_check_action action)
{
    const time_point now = boot_now();
    switch (action)
    {
    case restart_check_action::ask:
        begin_first_round(t.m_cell.m_restart_check, cell_members(t), now);
        return ask_members(t);
    case restart_check_action::read_members:
        t.m_cell.m_restart_check.m_asked_at = now;
        return read_members(t);
    case restart_check_action::ask_again:
        begin_second_round(t.m_cell.m_restart_check, now);
        return ask_members(t);
    case restart_check_action::stand_for_election:
        log_result(t, "all have restarted", "");
        if (t.m_cell.m_state == cell_state::follower)
            stand_for_election(t, now);
        return;
    }
}

}

void advance_restart_check(site_task_state& t, time_point now)
{
    cell_membership& c = t.m_cell;
    switch (c.m_restart_check_state)
    {
    case restart_check_state::over:
        return;
    case restart_check_state::waiting:
    {
        const auto ranks = cell_ranks(t, t.m_settings.m_zone);
        // All members have to take part, so one of them asks for all.
        if (c.m_was_member.value_or(false) && c.m_leader_address.empty() &&
            !ranks.empty() && ranks.front().m_name == t.m_settings.m_name)
            fire(t, restart_check_event::due);
        return;
    }
    case restart_check_state::first_round:
    case restart_check_state::reading:
    case restart_check_state::second_round:
        if (now - c.m_restart_check.m_asked_at >= restart_round_timeout)
            fire(t, restart_check_event::unanswered);
        return;
    }
}

peer_message answer_restart_request(const site_task_state& t)
{
    if (!t.m_cell.m_was_member)
        return peer_declined{t.m_settings.m_name};
    const restart_statement s = own_statement(t);
    return peer_restart{t.m_settings.m_name, s.m_incarnation, s.m_is_unused,
                        s.m_was_member};
}

}
