#include <session/session_task_state.hpp>

#include <chrono>

#include <decide/usage_ledger.hpp>
#include <task/boot_clock.hpp>

namespace bluebellspoke
{

namespace
{

// The least time between two summaries to the site task, which a cell leader
// asks for them once a second.
constexpr std::chrono::milliseconds usage_summary_interval{500};

bool reports_usage(const session_task_state& t)
{
    return t.m_settings.m_report_window != duration{};
}

}

void count_request(session_task_state& t, const link& k, const work& w,
                   expected_reply& e)
{
    // Sessions on a public route have no workspace to count for.
    if (!reports_usage(t) || k.m_workspace.empty() ||
        !counts_as_request(w.m_session->m_transaction.has_value(),
                           w.m_starts_transaction))
        return;
    const unix_time now = time_at(t.m_clock_offset, boot_now());
    e.m_usage_window = window_at(now, t.m_settings.m_report_window);
    add_request(t.m_requests, k.m_workspace, *e.m_usage_window);
}

void take_back_request(session_task_state& t, const link& k,
                       const expected_reply& e)
{
    if (e.m_usage_window)
        remove_request(t.m_requests, k.m_workspace, *e.m_usage_window);
}

void tick_usage(session_task_state& t, time_point now)
{
    // What a stopping process served last must be counted before it ends.
    const bool stops = t.m_stopping_since != time_point{};
    if (!reports_usage(t) || (now < t.m_next_usage_at && !stops))
        return;
    const unix_time time = time_at(t.m_clock_offset, now);
    const window_id final =
        first_kept(time, t.m_settings.m_report_window, usage_settle_time);
    if (!t.m_requests.m_has_changed && final == t.m_summed_final)
        return;
    t.m_next_usage_at = now + usage_summary_interval;
    t.m_summed_final = final;
    t.m_mailboxes.m_site.post(usage_counted{
        summarize(t.m_requests, time, t.m_settings.m_report_window)});
}

}
