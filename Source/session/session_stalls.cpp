#include <session/session_task_state.hpp>

#include <algorithm>

#include <decide/takeover.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// Added to commit_stall_timeout, so that the failover task gets a report, and
// acts on it, before the evidence ends: it is sent a report each 240 ms and
// checks them each 50 ms.
constexpr std::chrono::milliseconds stall_report_margin{400};

bool is_commit(const work& w)
{
    return w.m_kind == statement_kind::commit ||
           (w.m_writes && w.m_session && !w.m_session->m_transaction);
}

bool is_pending_at(const work& w, const service_group& g)
{
    return is_commit(w) && w.m_sent_at != time_point{} && w.m_link &&
           w.m_link->m_endpoint_pool->m_group == &g;
}

// Its caller has been told that it failed.
bool is_overdue_commit(const work& w)
{
    return !w.m_session;
}

}

bool keeps_awaiting_commit(const session_task_state& t, const work& w,
                           time_point now)
{
    const endpoint_pool& p = *w.m_link->m_endpoint_pool;
    const service_group& g = *p.m_group;
    // Only the holder of the duty uses the evidence, and one commit of each
    // group is enough.
    const bool is_evidence = t.m_reporting && w.m_session && is_commit(w) &&
                             g.m_view.m_primary == p.m_endpoint.m_id;
    return is_evidence &&
           may_show_stall(w.m_sent_at, g.m_acknowledged_commit_sent_at, now) &&
           std::ranges::none_of(t.m_pending_work,
                                [&](const work& other)
                                {
                                    return is_pending_at(other, g) &&
                                           is_overdue_commit(other);
                                });
}

void await_overdue_commit(session_task_state& t, const work_ptr& w)
{
    const link_ptr k = w->m_link;
    const work_ptr kept(new work);
    kept->m_id = w->m_id;
    kept->m_kind = statement_kind::commit;
    kept->m_writes = true;
    kept->m_received_at = w->m_received_at;
    kept->m_sent_at = w->m_sent_at;
    kept->m_deadline =
        w->m_sent_at + commit_stall_timeout + stall_report_margin;
    kept->m_attempt_deadline = kept->m_deadline;
    kept->m_attempts = w->m_attempts;
    kept->m_link = k;
    const lost_statement lost = judge_lost_statement(*w, k->m_in_transaction);
    if (w->m_session->m_transaction)
        w->m_session->m_transaction->m_link = nullptr;
    fail_work(t, w, lost.m_fault, lost.m_detail);
    k->m_work = kept;
    t.m_pending_work.push_back(*kept);
}

time_point oldest_pending_commit(const session_task_state& t,
                                 const service_group& g)
{
    time_point oldest{};
    for (const work& w : t.m_pending_work)
    {
        if (!is_pending_at(w, g))
            continue;
        // A commit that was sent later has been acknowledged, so they don't
        // stall.
        if (is_overdue_commit(w) &&
            w.m_sent_at < g.m_acknowledged_commit_sent_at)
            continue;
        if (oldest == time_point{} || w.m_sent_at < oldest)
            oldest = w.m_sent_at;
    }
    return oldest;
}

}
