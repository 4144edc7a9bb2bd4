#include <session/session_task_state.hpp>

#include <utility>

#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Operations of one workspace that may wait for a loan here.
constexpr std::size_t most_waiting = 64;

void admit_waiting(session_task_state& t, workspace_rate& r, time_point now)
{
    while (!r.m_waiting.empty())
    {
        const work_ptr w = r.m_waiting.front();
        const bool gone = !w->m_session || !w->m_waits_for_rate;
        if (!gone && !admit_one(r.m_share, now) &&
            now - w->m_asked_at < loan_wait)
            return;
        r.m_waiting.pop_front();
        if (gone)
            continue;
        w->m_waits_for_rate = false;
        if (now - w->m_asked_at >= loan_wait)
            fail_work(t, w, session_fault::busy, "rate");
        else
            dispatch(t, w);
    }
}

void ask_peers(session_task_state& t, workspace_rate& r, time_point now)
{
    const rate_share& s = r.m_share;
    if (!t.m_right || !is_due(r.m_round, now) || !needs_peers(s, now))
        return;
    begin_round(r.m_round, now);
    const share_right& right = t.m_right->m_right;
    for (const std::string& lender : lenders_to_ask(
             right, s.m_workspace, s.m_book, wanted_units(s, now) > 0))
        t.m_boxes.m_site.post(
            loan_wanted{share_kind::rate, s.m_workspace, lender,
                        make_ask(s, t.m_settings.m_name, lender, now)});
}

workspace_rate& rate_of(session_task_state& t, const std::string& workspace,
                        time_point now)
{
    const auto [entry, added] = t.m_rates.try_emplace(workspace);
    if (added)
        entry->second.m_share = make_rate_share(workspace, t.m_first_loan, now);
    return entry->second;
}

}

void update_rates(session_task_state& t)
{
    const time_point now = boot_now();
    std::erase_if(t.m_rates,
                  [&](const auto& entry)
                  {
                      const workspace_rate& r = entry.second;
                      return !t.m_config->m_workspaces.contains(entry.first) &&
                             r.m_waiting.empty() &&
                             r.m_share.m_book.m_lent.empty();
                  });
    // Nobody has spent anything of a workspace that is new to everybody. One
    // that the first configuration brings may be older than this process.
    const bool new_to_all =
        std::exchange(t.m_knows_workspaces, true) || t.m_settings.m_first_start;
    for (const auto& [name, workspace] : t.m_config->m_workspaces)
    {
        const bool fresh = new_to_all && !t.m_rates.contains(name);
        workspace_rate& r = rate_of(t, name, now);
        if (t.m_right)
            set_right(r.m_share, t.m_right, now);
        set_rate(r.m_share, workspace.m_rate, workspace.m_burst, now);
        if (fresh)
            fill_bucket(r.m_share);
    }
}

void take_fleet(session_task_state& t, const share_right& right)
{
    const time_point now = boot_now();
    const bool first = !t.m_right;
    t.m_right = share(right);
    for (auto& [name, r] : t.m_rates)
    {
        set_right(r.m_share, t.m_right, now);
        if (first && t.m_settings.m_first_start)
            fill_bucket(r.m_share);
        admit_waiting(t, r, now);
    }
    update_groups(t);
}

rate_verdict admit_operation(session_task_state& t, std::string_view workspace,
                             const work_ptr& w)
{
    const time_point now = boot_now();
    const auto found = t.m_rates.find(workspace);
    if (found == t.m_rates.end())
        return rate_verdict::refused;
    workspace_rate& r = found->second;
    note_arrival(r.m_share, now);
    if (r.m_waiting.empty() && admit_one(r.m_share, now))
    {
        ask_peers(t, r, now);
        return rate_verdict::admitted;
    }
    const bool holds_all = held_units(r.m_share.m_book) >= r.m_share.m_burst;
    if (holds_all || r.m_waiting.size() >= most_waiting)
        return rate_verdict::refused;
    w->m_waits_for_rate = true;
    r.m_waiting.push_back(w);
    ask_peers(t, r, now);
    return rate_verdict::waits;
}

void lend_to_peer(session_task_state& t, const loan_asked& asked)
{
    const auto found = t.m_rates.find(asked.m_resource);
    rate_loan given;
    if (found != t.m_rates.end())
        given = lend_rate(found->second.m_share, asked.m_ask, boot_now());
    t.m_boxes.m_site.post(loan_given{asked.m_exchange, std::move(given)});
}

void take_loan(session_task_state& t, const loan_arrived& arrived)
{
    const auto found = t.m_rates.find(arrived.m_resource);
    if (found == t.m_rates.end())
        return;
    const time_point now = boot_now();
    workspace_rate& r = found->second;
    if (take_rate_loan(r.m_share, arrived.m_lender, arrived.m_loan,
                       arrived.m_asked_at, now) > 0)
        r.m_round.m_pause = {};
    admit_waiting(t, r, now);
}

void tick_rates(session_task_state& t, time_point now)
{
    for (auto& [name, r] : t.m_rates)
    {
        settle(r.m_share, now);
        admit_waiting(t, r, now);
        ask_peers(t, r, now);
    }
}

}
